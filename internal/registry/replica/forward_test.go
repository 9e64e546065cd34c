package replica

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/registry/golden"
)

// A follower forwards writes and consistent reads to the leader once, with its ID in a header, and returns the response.
func TestForwardGolden(t *testing.T) {
	addresses := make([]string, 4)
	for i := range addresses {
		addresses[i] = freeAddr(t)
	}
	peers := []Peer{{ID: "r0", RaftAddress: addresses[0], ClientAddress: addresses[1]}, {ID: "r1", RaftAddress: addresses[2], ClientAddress: addresses[3]}}
	var replicas []*Replica
	for i := range peers {
		r, err := New(Config{ID: peers[i].ID, DataDir: t.TempDir(), RaftAddress: peers[i].RaftAddress, ClientAddress: peers[i].ClientAddress, Peers: peers, Tick: 20 * time.Millisecond,
			Guard: ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		replicas = append(replicas, r)
	}
	var out bytes.Buffer
	leader := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		text, err := httputil.DumpRequest(req, true)
		if err != nil {
			t.Error(err)
		}
		text = bytes.ReplaceAll(text, []byte(req.Host), []byte("HOST"))
		out.Write(bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n")))
		out.WriteString("\n")
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Registry-Revision", "7")
		w.Header().Set("X-Registry-Stale-Ms", "8")
		w.Header().Set("X-Other", "9")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprint(w, `{"said":"by the leader"}`)
	})
	stub := httptest.NewServer(leader)
	defer stub.Close()
	// The address of the leader among the members is replaced by that of the stub. A new leader writes its own address, so wait
	// for that first.
	var lead, other *Replica
	waitFor(t, "a leader that has written its address", func() bool {
		for i, r := range replicas {
			if r.raft.State() == raft.Leader && memberAddress(t, replicas[1-i], r.cfg.ID) == r.Addr() {
				lead, other = r, replicas[1-i]
				return true
			}
		}
		return false
	})
	transcript(t, lead, apiRequest{"POST", "/registry/write", `{"ops":[{"kind":"member","uid":"` + lead.cfg.ID + `","address":"` + strings.TrimPrefix(stub.URL, "http://") + `"}]}`})
	waitFor(t, "the follower to have the address of the stub", func() bool {
		return memberAddress(t, other, lead.cfg.ID) == strings.TrimPrefix(stub.URL, "http://")
	})
	responses := transcript(t, other,
		apiRequest{"POST", "/registry/write", `{"ops":[{"kind":"nothing","id":"x"}]}`},
		apiRequest{"POST", "/registry/renew", `{"leases":[]}`},
		apiRequest{"POST", "/registry/restore", `{}`},
		apiRequest{"POST", "/registry/members", `{"remove":"r9"}`},
		apiRequest{"GET", "/registry/instances?consistent=1", ""},
		apiRequest{"GET", "/registry/agreed?consistent=1&units=1", ""})
	out.Write(responses)
	// A request that was already forwarded is not forwarded again.
	req, err := http.NewRequest(http.MethodPost, "http://"+other.Addr()+"/registry/write", strings.NewReader(`{"ops":[{"kind":"nothing"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Registry-Forwarded", "r7")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "forwarded twice: %d %s", resp.StatusCode, body)
	// Either replica can become the follower, so its ID is replaced.
	text := strings.NewReplacer(`X-Registry-Forwarded: `+other.cfg.ID, "X-Registry-Forwarded: FOLLOWER").Replace(out.String())
	golden.Check(t, "forward.golden", []byte(text))
}

// memberAddress returns the client address of another replica according to r.
func memberAddress(t *testing.T, r *Replica, id string) string {
	t.Helper()
	resp, err := http.Get("http://" + r.Addr() + "/registry/status")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var status struct {
		Members map[string]string `json:"members"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		t.Fatal(err)
	}
	return status.Members[id]
}

// A replica without a leader rejects the requests that need one.
func TestNoLeaderGolden(t *testing.T) {
	r, err := New(Config{ID: "r0", DataDir: t.TempDir(), RaftAddress: freeAddr(t), ClientAddress: freeAddr(t), Tick: 20 * time.Millisecond,
		Guard: ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	golden.Check(t, "noleader.golden", transcript(t, r,
		apiRequest{"POST", "/registry/write", `{"ops":[{"kind":"nothing"}]}`},
		apiRequest{"POST", "/registry/renew", `{"leases":[]}`},
		apiRequest{"GET", "/registry/instances", ""},
		apiRequest{"GET", "/registry/instances?consistent=1", ""},
		apiRequest{"GET", "/registry/instances?at_least=@1", ""},
		apiRequest{"GET", "/registry/agreed", ""},
		apiRequest{"GET", "/registry/status", ""},
		apiRequest{"GET", "/registry/backup", ""}))
}

// A consistent watch at a follower is forwarded to the leader. It goes on, and its lines arrive at once.
func TestForwardedWatchContinues(t *testing.T) {
	t.Parallel()
	const heartbeats = 3 // they take longer than requestTimeout
	follower := startFollower(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+follower.Addr()+"/registry/instances?follow=1&consistent=1&since=0", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for received := 0; received < heartbeats; {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatalf("after %d heartbeats: %v", received, err)
		}
		if line == "\n" {
			received++
		}
	}
}

// A consistent poll at a follower is forwarded to the leader and waits as long as it asks for, also beyond the timeout of other
// requests.
func TestForwardedPollWaits(t *testing.T) {
	t.Parallel()
	const wait = requestTimeout + time.Second
	follower := startFollower(t)
	began := time.Now()
	url := fmt.Sprintf("http://%s/registry/agreed?consistent=1&after=%d&wait_ms=%d", follower.Addr(), int64(1)<<41, wait.Milliseconds())
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if elapsed := time.Since(began); resp.StatusCode != http.StatusOK || elapsed < wait {
		t.Errorf("got %s after %v, want a view after %v", resp.Status, elapsed, wait)
	}
}

// startFollower starts a registry of two replicas and returns the follower once it knows the address of the leader.
func startFollower(t *testing.T) (follower *Replica) {
	t.Helper()
	pair := startPair(t)
	for _, r := range pair {
		t.Cleanup(func() { r.Close() })
	}
	waitFor(t, "a follower that knows the leader's address", func() bool {
		for i, r := range pair {
			if leader := pair[1-i]; leader.raft.State() == raft.Leader && memberAddress(t, r, leader.cfg.ID) == leader.Addr() {
				follower = r
				return true
			}
		}
		return false
	})
	return follower
}
