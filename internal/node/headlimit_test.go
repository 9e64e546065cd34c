package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"umberbank/internal/node/nodetest"
)

// A request with more fields than the limit gets status 400, also as a later request of a connection. Lines of a body do not
// count as fields.
func TestHeadWithTooManyFields(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	conn := nodetest.Dial(t, n.Addr().String())
	reader := bufio.NewReader(conn)
	body := strings.Repeat("a:\n", 1000)
	for i, c := range []struct {
		request string
		status  int
	}{
		{head("POST", "/read/1", strings.Repeat("A: b\r\n", 80)+fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body, http.StatusOK},
		{head("GET", "/read/2", ""), http.StatusOK},
		{head("GET", "/read/3", strings.Repeat("A: b\r\n", 200)), http.StatusBadRequest},
	} {
		io.WriteString(conn, c.request)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != c.status {
			t.Fatalf("request %d: got %+v, %v, want status %d", i, resp, err, c.status)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
