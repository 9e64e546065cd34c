package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// network is a /16 of 127/8 that is reserved for one run by a listening socket.
type network struct {
	octet int // second octet of its addresses
	lock  net.Listener
}

// Indexes of the hosts of a network, and ports.
const (
	lockHostIndex   = 0
	firstNodeHost   = 1
	firstAgentHost  = 20_000
	firstServerHost = 30_000
	hostsPerOctet   = 250
	firstOctet      = 20  // second octet of the first network, 127.20.0.0/16
	octets          = 200 // number of networks to choose from
	nodePort        = "3000"
	lockPort        = "2999"
)

// claimNetwork reserves the first free network, starting at one that depends on the process ID.
func claimNetwork() (*network, error) {
	first := os.Getpid()
	for i := range octets {
		n := &network{octet: firstOctet + (first+i)%octets}
		lock, err := net.Listen("tcp", net.JoinHostPort(n.host(lockHostIndex), lockPort))
		if err == nil {
			n.lock = lock
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, errors.New("all networks from 127.20/16 to 127.219/16 are reserved by other runs")
}

// release frees the network.
func (n *network) release() { n.lock.Close() }

// host returns the i-th address of the network.
func (n *network) host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.octet, i/hostsPerOctet, 1+i%hostsPerOctet)
}

// nodeAddr returns the address at which a node listens.
func (f *Fleet) nodeAddr(i int) string {
	return net.JoinHostPort(f.network.host(firstNodeHost+i), nodePort)
}
