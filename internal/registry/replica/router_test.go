package replica

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"umberbank/internal/registry/api"
)

// dialReplica connects to a replica and closes the connection when the test ends.
func dialReplica(t *testing.T, r *Replica) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// Guards against responses that net/http makes up in place of the replica: a 200 for "OPTIONS *", a redirect of a path that is
// not clean, and a HEAD that runs the handler of the GET, which for a watch never ends.
func TestRequestsOutsideTheAPI(t *testing.T) {
	t.Parallel()
	r := startLeader(t, t.TempDir())
	for name, c := range map[string]struct {
		request string // the request line without its version, and a line end before further headers
		status  int
	}{
		"OPTIONS of the server":       {"OPTIONS *", http.StatusNotFound},
		"OPTIONS of a path":           {"OPTIONS " + api.PathStatus, http.StatusMethodNotAllowed},
		"TRACE":                       {"TRACE " + api.PathStatus, http.StatusMethodNotAllowed},
		"CONNECT":                     {"CONNECT a:80", http.StatusNotFound},
		"CONNECT of a path":           {"CONNECT " + api.PathStatus, http.StatusMethodNotAllowed},
		"GET of the server":           {"GET *", http.StatusNotFound},
		"HEAD of the list":            {"HEAD " + api.PathInstances, http.StatusMethodNotAllowed},
		"HEAD of a watch":             {"HEAD " + api.PathInstances + "?follow=1", http.StatusMethodNotAllowed},
		"HEAD of the metrics":         {"HEAD " + api.PathMetrics, http.StatusMethodNotAllowed},
		"GET of a write":              {"GET " + api.PathWrite, http.StatusMethodNotAllowed},
		"POST of the list":            {"POST " + api.PathInstances, http.StatusMethodNotAllowed},
		"unknown path":                {"GET /registry", http.StatusNotFound},
		"two slashes":                 {"GET /" + api.PathStatus, http.StatusNotFound},
		"dots":                        {"GET /x/.." + api.PathStatus, http.StatusNotFound},
		"slash at the end":            {"GET " + api.PathStatus + "/", http.StatusNotFound},
		"slash at the end of a write": {"POST " + api.PathWrite + "/", http.StatusNotFound},
		"encoded slash":               {"GET /registry%2Fstatus", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dialReplica(t, r)
			io.WriteString(conn, c.request+" HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("got %+v, %v, want status %d", resp, err, c.status)
			}
		})
	}
	if n := r.watches.len(); n != 0 {
		t.Errorf("%d watches are open", n)
	}
}
