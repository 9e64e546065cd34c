package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/nodetest"
)

const fullTarget = `{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":3,"state":"DRAINING","capacity_hint":2.5,"boot_ms":1500.5}`

var portNumber = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// The golden file has the requests to discovery, byte for byte, and the errors for a 503 response.
func TestGoldenRequests(t *testing.T) {
	t.Parallel()
	heads := make(chan string, 2)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		var head strings.Builder
		if _, err := http.ReadRequest(bufio.NewReader(io.TeeReader(r, &head))); err != nil {
			return
		}
		heads <- portNumber.ReplaceAllString(head.String(), "ADDR")
		io.WriteString(c, "HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n")
	})
	d := NewClient(addr)
	var b strings.Builder
	_, err := d.Fetch(context.Background())
	fmt.Fprintf(&b, "list: %q\n%v\n", nodetest.Wait(t, heads), err)
	err = d.Watch(context.Background(), 41, handler(nil))
	fmt.Fprintf(&b, "watch: %q\n%v\n", nodetest.Wait(t, heads), err)
	nodetest.Golden(t, "requests.golden", b.String())
}

// Every key of a message is parsed, and the golden file has the errors for invalid messages.
func TestGoldenMessages(t *testing.T) {
	t.Parallel()
	complete := `{"rev":42,"all":true,"targets":[` + fullTarget + `]}`
	u, err := ParseUpdate([]byte(complete))
	if err != nil || u.Revision != 42 || !u.Full || len(u.Entries) != 1 {
		t.Fatalf("%+v, %v", u, err)
	}
	want := balancer.Endpoint{ID: "s-1", Zone: "a", Cell: 3, State: balancer.Draining, Weight: 2.5, StartTime: 1500500 * time.Microsecond}
	if got := u.Entries[0].Endpoint(); !reflect.DeepEqual(got, want) || u.Entries[0].Address != "127.0.0.1:9" {
		t.Errorf("got %+v, want %+v", u.Entries[0], want)
	}
	for name, state := range map[string]balancer.EndpointState{"SERVING": balancer.Ready, "DRAINING": balancer.Draining, "DELETED": balancer.Removed} {
		if u, err := ParseUpdate([]byte(strings.Replace(complete, "DRAINING", name, 1))); err != nil || u.Entries[0].Endpoint().State != state {
			t.Errorf("%s: %+v, %v", name, u, err)
		}
	}
	var b strings.Builder
	for _, bad := range []string{`{"rev":42,"all":true}`, strings.Replace(complete, "s-1", "", 1), strings.Replace(complete, "DRAINING", "SLEEPING", 1),
		strings.Replace(complete, "127.0.0.1:9", "here", 1), "nonsense"} {
		_, err := ParseUpdate([]byte(bad))
		fmt.Fprintf(&b, "%s\n%v\n", bad, err)
	}
	nodetest.Golden(t, "messages.golden", b.String())
}
