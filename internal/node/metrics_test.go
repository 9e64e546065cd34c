package node

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"umberbank/internal/node/metrics"
	"umberbank/internal/node/nodetest"
)

// varsResponse is the response to the command vars.
type varsResponse struct {
	Results        map[string]metrics.ClassResults `json:"results"`
	Outstanding    int                             `json:"outstanding"`
	Forwards       int                             `json:"forwards"`
	Discovered     int                             `json:"discovered"`
	Ejected        int                             `json:"ejected"`
	SighupApplied  int                             `json:"sighup_applied"`
	SighupRejected int                             `json:"sighup_rejected"`
}

func vars(t *testing.T, n *Node) (f varsResponse) {
	t.Helper()
	text, complete := strings.CutSuffix(sendCommand(t, n, "vars\n"), "\neof\n")
	if !complete || strings.Contains(text, "\n") {
		t.Fatalf("vars: got response %q", text)
	}
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		t.Fatalf("vars: %v", err)
	}
	return f
}

// The command vars reports the responses of each kind, the attempts and the size of the endpoint list.
func TestVars(t *testing.T) {
	t.Parallel()
	served, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	failing, _ := nodetest.StubServer(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", false)
	full, _ := nodetest.StubServer(t, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false)
	for name, c := range map[string]struct {
		addr string
		want metrics.ClassResults
	}{
		"served": {served, metrics.ClassResults{Succeeded: 1}}, "failing": {failing, metrics.ClassResults{Failed: 1}},
		"full": {full, metrics.ClassResults{Rejected: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig("127.0.0.1:1", servingEntry("s", c.addr))
			cfg.Settings.MaxAttempts = 1
			n := startWithControl(t, cfg)
			if f := vars(t, n); f.Results["order"] != (metrics.ClassResults{}) || len(f.Results) != 3 || f.Discovered != 1 || f.Forwards != 0 {
				t.Errorf("at the start: got %+v", f)
			}
			nodetest.Do(t, newRequest(t, n, "POST", "/order/1", ""))
			nodetest.Do(t, newRequest(t, n, "PUT", "/order/1", "")) // invalid requests are not counted
			if f := vars(t, n); f.Results["order"] != c.want || f.Forwards != 1 || f.Outstanding != 0 {
				t.Errorf("after a request: got %+v", f)
			}
		})
	}
}

// A request counts as outstanding until it is completed or its client disconnects.
func TestVarsOutstanding(t *testing.T) {
	t.Parallel()
	silent, got := nodetest.StubServer(t, "", false)
	n := startWithControl(t, testConfig("127.0.0.1:1", servingEntry("s", silent)))
	c := nodetest.Dial(t, n.Addr().String())
	if _, err := c.Write([]byte(readRequest)); err != nil {
		t.Fatal(err)
	}
	nodetest.Wait(t, got)
	if f := vars(t, n); f.Outstanding != 1 || f.Forwards != 1 {
		t.Errorf("with a request in flight: got %+v", f)
	}
	c.(*net.TCPConn).Close()
	for end := time.Now().Add(nodetest.Timeout); vars(t, n).Outstanding != 0; {
		if time.Now().After(end) {
			t.Fatal("a request whose client has disconnected stays outstanding")
		}
	}
}
