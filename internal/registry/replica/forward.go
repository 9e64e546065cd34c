package replica

import (
	"bytes"
	"io"
	"net/http"

	"umberbank/internal/httpclient"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// forwardToLeader forwards a request to the leader, and the response to the client as it arrives. It does not forward a request
// that another replica has forwarded.
func (r *Replica) forwardToLeader(w http.ResponseWriter, in *http.Request, body []byte) {
	_, id := r.raft.LeaderWithID()
	var address string
	r.fsm.read(func(s *state.State) { address = s.Members()[string(id)] })
	if address == "" || in.Header.Get(api.HeaderForwarded) != "" {
		reply(w, nil, ErrNotLeader)
		return
	}
	out, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+address+in.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		reply(w, nil, err)
		return
	}
	out.Header.Set(api.HeaderForwarded, r.cfg.ID)
	client := r.forward
	if isWatch(in) || isPoll(in) {
		client = r.forwardWaiting
	}
	resp, err := client.Do(out)
	if err != nil {
		reply(w, nil, err)
		return
	}
	defer resp.Body.Close()
	for _, h := range []string{"Content-Type", api.HeaderRevision, api.HeaderStaleness} {
		if v := resp.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	var to io.Writer = w
	if isWatch(in) {
		to = flushWriter{w, http.NewResponseController(w)}
	}
	io.Copy(to, resp.Body) //nolint:errcheck // a client that has disconnected needs no response
}

// newForwardWaitingClient returns the client that forwards watches, whose responses do not end, and polls, whose responses begin
// after the time that they wait. Only the time until a response begins is limited.
func newForwardWaitingClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{ResponseHeaderTimeout: requestTimeout + maxPollWait},
		CheckRedirect: httpclient.ReturnRedirect,
	}
}

// flushWriter sends each write to the client at once.
type flushWriter struct {
	io.Writer
	controller *http.ResponseController
}

// Write writes and flushes.
func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.controller.Flush()
}
