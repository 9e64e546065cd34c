package client

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"umberbank/internal/registry/state"
)

// A write whose response is lost, or that fails with status 503, is retried with the same id. A write that the registry
// rejects with status 400 is not retried.
func TestClientRetries(t *testing.T) {
	var ids []string
	calls := 0
	first := serve(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var b strings.Builder
		buf := make([]byte, 4096)
		for n, err := q.Body.Read(buf); ; n, err = q.Body.Read(buf) {
			b.Write(buf[:n])
			if err != nil {
				break
			}
		}
		_, id, _ := strings.Cut(b.String(), `"id":"`)
		ids = append(ids, id[:min(24, len(id))])
		switch calls++; calls {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			fmt.Fprint(w, `{"answers":[{"rev":3}]}`)
		default:
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprint(w, `{"error":"no"}`)
		}
	}))
	cl, err := New(Options{Endpoints: []string{first}, InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	results, err := cl.Write(ctx, state.Op{Kind: state.OpRemove, UID: "a"})
	if err != nil || results[0].Revision != 3 || len(ids) != 3 || ids[0] == "" || ids[0] != ids[1] || ids[1] != ids[2] {
		t.Errorf("got results %+v, error %v, ids %q; want revision 3 and the same id three times", results, err, ids)
	}
	if _, err := cl.Write(ctx, state.Op{Kind: state.OpRemove, UID: "a"}); err == nil || !strings.Contains(err.Error(), "no") || calls != 4 {
		t.Errorf("rejected write: error %v after %d requests, want the replica's error after 4", err, calls)
	}
	cl.http.CloseIdleConnections()
}
