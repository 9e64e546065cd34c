package scale

import (
	"net"
	"net/http"
	"time"
)

// listServer is a discovery whose list never changes, for the node without a control part: what that spends on its list is not
// the control's.
type listServer struct {
	ln  net.Listener
	srv *http.Server
}

// listBeat is how often a watch says that it lives, as the registry's do.
const listBeat = 2 * time.Second

func serveList(whole []byte) (*listServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &listServer{ln: ln, srv: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Write(whole)
		if q.URL.Query().Get("follow") == "" {
			return
		}
		beat := time.NewTicker(listBeat)
		defer beat.Stop()
		for http.NewResponseController(w).Flush() == nil {
			select {
			case <-beat.C:
				w.Write([]byte("\n")) // a reader that has gone shows at the flush
			case <-q.Context().Done():
				return
			}
		}
	})}}
	go s.srv.Serve(ln) // it ends with close
	return s, nil
}

func (s *listServer) addr() string { return s.ln.Addr().String() }

func (s *listServer) close() { s.srv.Close() }
