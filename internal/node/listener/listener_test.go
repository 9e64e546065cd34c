package listener

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"umberbank/internal/node/nodetest"
)

// failingListener returns two errors before each connection.
type failingListener struct {
	net.Listener
	accepts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	switch l.accepts.Add(1) % 3 {
	case 1:
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case 2:
		return nil, &net.OpError{Op: "accept", Err: syscall.ENETDOWN}
	}
	return l.Listener.Accept()
}

// A failed accept must not stop a server, whatever its error.
func TestFailedAccept(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Persistent{&failingListener{Listener: inner}}
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	for range 2 {
		r, _ := http.NewRequest(http.MethodGet, "http://"+inner.Addr().String()+"/", nil)
		if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d, want 200", resp.StatusCode)
		}
	}
	srv.Close()
	if err := nodetest.Wait(t, served); !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve: %v", err)
	}
}
