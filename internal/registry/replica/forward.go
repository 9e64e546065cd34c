package replica

import (
	"bytes"
	"io"
	"net/http"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// forwardToLeader forwards a request to the leader, and the response to the client. It does not forward a request that
// another replica has forwarded.
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
	resp, err := r.forward.Do(out)
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
	io.Copy(w, resp.Body) //nolint:errcheck // a client that has disconnected needs no response
}
