package node

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"umberbank/internal/node/nodetest"
)

// improperMessages are messages of unknown peers that are no request of the protocol, with the status of their response.
var improperMessages = map[string]struct {
	message string
	status  int
}{
	"OPTIONS of the server":              {"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	"OPTIONS of the server, HTTP/1.0":    {"OPTIONS * HTTP/1.0\r\n\r\n", 400},
	"OPTIONS of the server with an ID":   {head("OPTIONS", "*", ""), 400},
	"OPTIONS of the server with a body":  {head("OPTIONS", "*", "Content-Length: 2\r\n") + "ab", 400},
	"OPTIONS of the server, body to ask": {head("OPTIONS", "*", "Content-Length: 2\r\nExpect: 100-continue\r\n"), 400},
	"OPTIONS of an origin":               {head("OPTIONS", "http://a", ""), 400},
	"OPTIONS of a class":                 {head("OPTIONS", "/read/1", ""), 400},
	"OPTIONS of the readiness":           {head("OPTIONS", readinessPath, ""), 400},
	"GET of the server":                  {head("GET", "*", ""), 404},
	"HEAD":                               {head("HEAD", "/read/1", ""), 400},
	"HEAD of the readiness":              {head("HEAD", readinessPath, ""), 400},
	"TRACE":                              {head("TRACE", "/read/1", ""), 400},
	"TRACE of the server":                {head("TRACE", "*", ""), 400},
	"CONNECT":                            {head("CONNECT", "a:80", ""), 400},
	"CONNECT of a path":                  {head("CONNECT", "/read/1", ""), 400},
	"HTTP/2 preface":                     {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
	"HTTP/2":                             {"GET /read/1 HTTP/2.0\r\nHost: a\r\n\r\n", 505},
	"HTTP/0.9":                           {"GET /read/1\r\n\r\n", 400},
	"TLS":                                {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
	"unknown expectation":                {head("GET", "/read/1", "Expect: x\r\n"), 417},
	"unknown transfer encoding":          {head("POST", "/order/1", "Transfer-Encoding: gzip\r\n"), 501},
	"two lengths":                        {head("POST", "/order/1", "Content-Length: 1\r\nContent-Length: 2\r\n"), 400},
	"no host":                            {strings.Replace(readRequest, "Host: a\r\n", "", 1), 400},
	"two hosts":                          {strings.Replace(readRequest, "Host: a\r\n", "Host: a\r\nHost: b\r\n", 1), 400},
	"malformed header":                   {head("GET", "/read/1", "a b: c\r\n"), 400},
	"long head":                          {head("GET", "/read/1", "A: "+strings.Repeat("b", 2*maxHeaderBytes)+"\r\n"), 431},
	"path without a class":               {head("GET", "//read/1", ""), 400},
	"unknown class":                      {head("GET", "/nothing/1", ""), 404},
	"no correlation ID":                  {strings.Replace(readRequest, "X-Correlation-Id: c-1\r\n", "", 1), 400},
	"no time left":                       {strings.Replace(readRequest, "X-Time-Left: 9000m\r\n", "", 1), 400},
	"no key":                             {head("POST", "/send/1", ""), 400},
	"GET of a class with a key":          {head("GET", "/send/1", "Idempotency-Key: k\r\n"), 400},
	"GET of a class that may run once":   {head("GET", "/order/1", ""), 400},
	"many lines":                         {head("GET", "/read/1", strings.Repeat("A: b\r\n", 200)), 400},
}

// Guards against a success that net/http or any other part makes up for a peer whose message is no request of the protocol,
// as net/http did for "OPTIONS *": each gets an error and a close, and no server gets anything.
func TestImproperMessagesGetErrors(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	t.Run("messages", func(t *testing.T) {
		for name, c := range improperMessages {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				conn := nodetest.Dial(t, n.Addr().String())
				io.WriteString(conn, c.message)
				reader := bufio.NewReader(conn)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil || resp.StatusCode != c.status {
					t.Fatalf("got %+v, %v, want status %d", resp, err, c.status)
				}
				if _, err := io.Copy(io.Discard, reader); err != nil {
					t.Errorf("the connection does not close: %v", err)
				}
			})
		}
	})
	if len(got) > 0 {
		t.Errorf("a server got %s", (<-got).RequestURI)
	}
}

// A peer that announces a body and asks whether to send it is told to go on, and gets an error if the body never arrives.
func TestAnnouncedBodyNeverArrives(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig("127.0.0.1:1"), nil)
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("POST", "/order/1", "Expect: 100-continue\r\nContent-Length: 9\r\n"))
	reader := bufio.NewReader(conn)
	for _, status := range []int{http.StatusContinue, http.StatusRequestTimeout} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("got %+v, %v, want status %d", resp, err, status)
		}
	}
}
