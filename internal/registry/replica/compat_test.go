package replica

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/registry/golden"
)

// apiRequest is a request to the registry's API. In path and body "@7" stands for the seventh revision of the first epoch,
// HASH1 and HASH2 for the hashes of the two versions of settings, and RAFT and ADDRESS for the replica's own addresses.
type apiRequest struct{ method, path, body string }

// Settings of two versions, in the form that nodes get.
const (
	settings1 = `{"lanes":[{"name":"read"}]}`
	settings2 = `{"lanes":[{"name":"read"},{"name":"write"}]}`
)

// setupRequests build a registry with servers, a controller, nodes, limits, permits, a halted release, a committed version of
// settings, a pending one, and an unreachable server. api.golden contains the responses to these requests too.
var setupRequests = []apiRequest{
	{"POST", "/registry/write", `{"ops":[` +
		`{"kind":"register","id":"w1","entry":{"uid":"s0","endpoint":"10.0.0.1:3000","az":"a","model":"m5","pod_group":1,"state":"SERVING","capacity_hint":1,"boot_ms":1,"tier":"web","region":"north","version":"v1","ttl_ms":3600000}},` +
		`{"kind":"register","id":"w2","entry":{"uid":"s1","endpoint":"10.0.0.2:3000","az":"a","model":"m5","pod_group":2,"state":"SERVING","capacity_hint":1,"boot_ms":1,"tier":"web","region":"north","version":"v1","ttl_ms":3600000}},` +
		`{"kind":"register","id":"w3","entry":{"uid":"s2","endpoint":"10.0.0.3:3000","az":"b","model":"m5","pod_group":3,"state":"SERVING","capacity_hint":1,"boot_ms":1,"tier":"web","region":"north","version":"v1","ttl_ms":3600000}},` +
		`{"kind":"register","id":"w4","entry":{"uid":"c0","endpoint":"-","state":"SERVING","role":"controller","boot_ms":1,"ttl_ms":3600000}},` +
		`{"kind":"register","id":"w5","entry":{"uid":"n0","endpoint":"10.0.1.1:80","az":"a","model":"web","state":"SERVING","capacity_hint":1,"boot_ms":1,"role":"node","tier":"front","ttl_ms":3600000}},` +
		`{"kind":"register","id":"w6","entry":{"uid":"n1","endpoint":"10.0.1.2:80","az":"b","model":"web","state":"SERVING","capacity_hint":1,"boot_ms":1,"role":"node","tier":"front","ttl_ms":3600000}}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"limits","id":"w7","limits":{"tiers":[{"tier":"web","whole":0.7,"zone":1,"region":1,"rack":1},{"tier":"front","whole":0.5}],"cold_from":0.5,"warm_ms":3600000,"lapse_ms":3600000}}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"register","id":"w8","entry":{"uid":"s3","endpoint":"10.0.0.4:3000","az":"b","model":"m5","pod_group":4,"state":"SERVING","capacity_hint":1,"boot_ms":5,"tier":"web","region":"north","version":"v2"}}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"permit","id":"w9","uid":"s0","start":@1,"holder":"c0","plan":"p","to":"v2","fence":{"uid":"c0","token":@4}},{"kind":"begin","id":"w10","uid":"s0","token":@9}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"permit","id":"w11","uid":"s1","start":@2,"holder":"c0","plan":"q","to":"v2"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"put","id":"w12","key":"plan/q","value":{"name":"q","bake_ms":0,"back_within_ms":1000,"stages":[[{"unit":"s1","from":"v1","to":"v2"}]]}},` +
		`{"kind":"put","id":"w13","key":"release/q","value":{"stage":0,"asked":["s1"]}},{"kind":"put","id":"w14","key":"halt/q","value":{"why":"by staff"},"if_mod":-1}]}`},
	// In a data directory whose snapshot was taken before this point, the entries from here on are only in the log.
	{"POST", "/registry/write", `{"ops":[{"kind":"report","id":"w15","uid":"n0","token":@5},{"kind":"report","id":"w16","uid":"n1","token":@6}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"propose","id":"w17","value":` + settings1 + `,"stages":[1]},` +
		`{"kind":"ack","id":"w18","uid":"n0","token":@5,"number":1,"hash":"HASH1"},{"kind":"ack","id":"w19","uid":"n1","token":@6,"number":1,"hash":"HASH1"},` +
		`{"kind":"commit","id":"w20","number":1},{"kind":"report","id":"w21","uid":"n0","token":@5,"number":1,"hash":"HASH1"},` +
		`{"kind":"report","id":"w22","uid":"n1","token":@6,"number":1,"hash":"HASH1"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"propose","id":"w23","value":` + settings2 + `,"replaces":1,"stages":[0.5,1],"bake_ms":1000},` +
		`{"kind":"ack","id":"w24","uid":"n0","token":@5,"number":2,"hash":"HASH2"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"avoid","id":"w25","uid":"n0","token":@5,"avoids":["s2"]},{"kind":"remove","id":"w26","uid":"s2","token":@3},` +
		`{"kind":"suspect","id":"w27","uid":"s3","token":@8,"wall_ms":1764720000000},{"kind":"update","id":"w28","uid":"s1","token":@2,"capacity":2}]}`},
}

// rejectedWrites are writes that change nothing. There is at least one for each state.Code.
var rejectedWrites = []apiRequest{
	{"POST", "/registry/write", `{"ops":[{"kind":"update","id":"w1","uid":"s0","state":"DRAINING"}]}`}, // a repeated ID gets the first result
	{"POST", "/registry/write", `{"ops":[{"kind":"update","uid":"s0","token":5,"state":"DRAINING"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"update","uid":"s0","if_mod":@1,"capacity":3}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"update","uid":"s0","state":"SERVING"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"update","uid":"none","state":"DRAINING"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"dance"},{"kind":"nothing"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"begin","uid":"s1","token":@11}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"permit","uid":"s3","start":@8,"holder":"c0"}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"return","uid":"s1","token":5}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"propose","value":{},"replaces":7,"stages":[1]}]}`},
	{"POST", "/registry/write", `{"ops":[{"kind":"put","key":"halt/q","value":{},"if_mod":-1}]}`},
}

// readRequests read everything that a registry holds.
var readRequests = []apiRequest{
	{"GET", "/registry/instances", ""},
	{"GET", "/registry/instances?at_least=@5", ""},
	{"GET", "/registry/instances?consistent=1", ""},
	{"GET", "/registry/agreed", ""},
	{"GET", "/registry/agreed?units=1&lead=c0&consistent=1", ""},
	{"GET", "/registry/agreed?unit=s0", ""},
	{"GET", "/registry/agreed?unit=s2&after=@0&wait_ms=10", ""},
	{"GET", "/registry/agreed?node=n0", ""},
	{"GET", "/registry/agreed?node=n1&has=1,2", ""},
	{"GET", "/registry/agreed?unit=none", ""},
	{"GET", "/registry/status", ""},
	{"GET", "/registry/backup", ""},
}

// otherRequests renew leases, change the members, or are invalid.
var otherRequests = []apiRequest{
	{"POST", "/registry/renew", `{"leases":[{"uid":"s0","token":@1},{"uid":"s0","token":5},{"uid":"none","token":1}]}`},
	{"POST", "/registry/renew", `{"leases":[{"uid":"s0","token":@1}]}`},
	{"POST", "/registry/renew", `{`},
	{"POST", "/registry/write", `{`},
	{"POST", "/registry/write", `{"ops":[]}`},
	{"POST", "/registry/restore", `{}`},
	{"POST", "/registry/restore", `{`},
	{"POST", "/registry/members", `{}`},
	{"POST", "/registry/members", `{`},
	{"POST", "/registry/members", `{"add":{"id":"r7"}}`},
	{"POST", "/registry/members", `{"add":{"id":"r0","raft":"RAFT","address":"ADDRESS"}}`},
	{"POST", "/registry/members", `{"add":{"ID":"r0","Raft":"RAFT","Address":"ADDRESS","Via":""}}`},
	{"GET", "/registry/instances?since=x", ""},
	{"GET", "/registry/instances?at_least=x", ""},
	{"GET", "/registry/agreed?after=x", ""},
	{"GET", "/registry/agreed?after=1&wait_ms=x", ""},
	{"GET", "/registry/agreed?after=1&wait_ms=-1", ""},
	{"GET", "/registry/write", ""},
	{"GET", "/registry/none", ""},
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

var revisionPlaceholder = regexp.MustCompile(`@(\d+)`)

// expandPlaceholders replaces the placeholders of an apiRequest.
func expandPlaceholders(r *Replica, raftAddress, text string) string {
	text = revisionPlaceholder.ReplaceAllStringFunc(text, func(m string) string {
		n, err := strconv.ParseInt(m[1:], 10, 64)
		if err != nil {
			panic(err)
		}
		return strconv.FormatInt(1<<40+n, 10)
	})
	return strings.NewReplacer("HASH1", hashOf(settings1), "HASH2", hashOf(settings2), "RAFT", raftAddress, "ADDRESS", r.Addr()).Replace(text)
}

// termPattern matches the term of raft in a status.
var termPattern = regexp.MustCompile(`"term":"\d+"`)

// transcript sends requests in order and returns a record of requests and responses, with volatile values replaced. If the
// replica has no leader, raftAddress is empty, and RAFT is inserted around every character of the bodies.
func transcript(t *testing.T, r *Replica, requests ...apiRequest) []byte {
	t.Helper()
	_, id := r.raft.LeaderWithID()
	raftAddress := ""
	for _, s := range r.raft.GetConfiguration().Configuration().Servers {
		if s.ID == id {
			raftAddress = string(s.Address)
		}
	}
	var out bytes.Buffer
	for _, request := range requests {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		req, err := http.NewRequestWithContext(ctx, request.method, "http://"+r.Addr()+expandPlaceholders(r, raftAddress, request.path), strings.NewReader(expandPlaceholders(r, raftAddress, request.body)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, ">> %s %s\n%s\n<< %d\n", request.method, request.path, request.body, resp.StatusCode)
		writeHeaders(&out, resp.Header)
		text := strings.NewReplacer(r.Addr(), "ADDRESS", raftAddress, "RAFT").Replace(string(body))
		fmt.Fprintf(&out, "%s\n", strings.TrimSuffix(termPattern.ReplaceAllString(text, `"term":"TERM"`), "\n"))
	}
	return out.Bytes()
}

// writeHeaders writes headers in sorted order, without those that differ between responses.
func writeHeaders(out *bytes.Buffer, h http.Header) {
	var lines []string
	for name, values := range h {
		if name == "Date" || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			lines = append(lines, name+": "+v)
		}
	}
	slices.Sort(lines)
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
}

// All paths of the API keep their bodies, headers, status codes and error texts.
func TestAPIGolden(t *testing.T) {
	r := startLeader(t, t.TempDir())
	golden.Check(t, "api.golden", slices.Concat(transcript(t, r, setupRequests...), transcript(t, r, rejectedWrites...), transcript(t, r, readRequests...), transcript(t, r, otherRequests...)))
}

// Log entries keep their encoding, because replicas of other versions read them during an upgrade of the cluster.
func TestLogEntriesGolden(t *testing.T) {
	r := startLeader(t, t.TempDir())
	transcript(t, r, setupRequests...)
	var out bytes.Buffer
	last, err := r.logStore.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= last; i++ {
		var l raft.Log
		if err := r.logStore.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			out.Write(bytes.ReplaceAll(l.Data, []byte(r.Addr()), []byte("ADDRESS")))
			out.WriteByte('\n')
		}
	}
	golden.Check(t, "log.golden", out.Bytes())
}

// A data directory that an earlier version wrote, with a snapshot and later log entries, is read completely.
func TestStoredDataDir(t *testing.T) {
	r := startLeader(t, golden.CopyDir(t, "folder"))
	golden.Check(t, "folder.golden", transcript(t, r, readRequests...))
}

// A backup that an earlier version wrote is restored completely.
func TestStoredBackup(t *testing.T) {
	backup, err := os.ReadFile(filepath.Join("testdata", "backup.json"))
	if err != nil {
		t.Fatal(err)
	}
	r := startLeader(t, t.TempDir())
	resp, err := http.Post("http://"+r.Addr()+"/registry/restore", "application/json", bytes.NewReader(backup))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
	golden.Check(t, "backup.golden", transcript(t, r, readRequests...))
}

// The bytes of a watch stay the same: the head of the response, the full list, a change, an event without instances, and a
// heartbeat.
func TestWatchGolden(t *testing.T) {
	r := startLeader(t, t.TempDir())
	transcript(t, r, setupRequests[0])
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: r\r\n\r\n")
	var got bytes.Buffer
	readUntil := func(mark string) {
		t.Helper()
		buf := make([]byte, 1<<16)
		for !bytes.Contains(got.Bytes(), []byte(mark)) {
			n, err := conn.Read(buf)
			got.Write(buf[:n])
			if err != nil {
				t.Fatalf("%v after %q", err, got.String())
			}
		}
	}
	readUntil(`"mod":1099511627779`)
	if !bytes.Contains(got.Bytes(), []byte(`"all":true`)) {
		t.Fatalf("no full list: %q", got.String())
	}
	transcript(t, r, apiRequest{"POST", "/registry/write", `{"ops":[{"kind":"update","uid":"s0","state":"DRAINING"},{"kind":"remove","uid":"s1"}]}`})
	readUntil(`"DELETED"`)
	transcript(t, r, apiRequest{"POST", "/registry/write", `{"ops":[{"kind":"put","key":"k","value":1}]}`})
	readUntil(`"targets":[]`)
	const heartbeat = "1\r\n\n\r\n"
	readUntil("\n" + heartbeat)
	// Heartbeats are sent at intervals and may come between any two events, so all but one are removed.
	golden.Check(t, "watch.golden", append(bytes.ReplaceAll(got.Bytes(), []byte("\n"+heartbeat), []byte("\n")), heartbeat...))
}

// The JSON names of a peer in a request that changes the members stay the same.
func TestPeerJSON(t *testing.T) {
	text, err := json.Marshal(Peer{ID: "r1", RaftAddress: "a:1", ClientAddress: "a:2", DialAddress: "a:3"})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"ID":"r1","Raft":"a:1","Address":"a:2","Via":"a:3"}`; string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
