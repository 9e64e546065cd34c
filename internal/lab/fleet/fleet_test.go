package fleet

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/internal/lab/model"
)

// The test binary is also a server that responds at once. It prints its address on standard output.
func TestMain(m *testing.M) {
	if os.Getenv("FLEET_TEST_SERVER") == "" {
		os.Exit(m.Run())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			panic(err)
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
					return
				}
			}
		}()
	}
}

// Each missing command defaults to this program, whether or not the other one is set.
func TestCommands(t *testing.T) {
	for _, given := range []Options{{}, {Node: []string{"n"}}, {Replica: []string{"r"}}, {Node: []string{"n"}, Replica: []string{"r"}}} {
		o := given
		o.setDefaults("self")
		if given.Node != nil && o.Node[0] != "n" || given.Node == nil && o.Node[0] != "self" ||
			given.Replica != nil && o.Replica[0] != "r" || given.Replica == nil && o.Replica[0] != "self" {
			t.Errorf("%v: node %v, replica %v", given, o.Node, o.Replica)
		}
	}
}

// Throughput of the load generator on one core, with the server in another process.
func BenchmarkLoader(b *testing.B) {
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), "FLEET_TEST_SERVER=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		cmd.Process.Kill()
		_ = cmd.Wait() // killed
	}()
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p := newConnectionPool(strings.TrimSpace(addr))
	defer p.close()
	text := []byte("GET /read/1?tier=web HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: c1-1\r\nX-Time-Left: 1000000u\r\n\r\n")
	busy := make(chan struct{}, 64)
	var all sync.WaitGroup
	for b.Loop() {
		busy <- struct{}{}
		all.Go(func() {
			if a := p.exchange(&exchange{}, text, 10*time.Second); a.Result != model.Served {
				b.Errorf("%v", a.Result)
			}
			<-busy
		})
	}
	all.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
