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
	"net/http/httptest"
	"net/http/httputil"
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

// step is one call of the registry's API. In path and body "@7" stands for the seventh revision of the first epoch,
// HASH1 and HASH2 for the hashes of the two versions of settings, and RAFT and ADDRESS for the replica's own addresses.
type step struct{ method, path, body string }

// Settings of two versions, as nodes get them.
const (
	settings1 = `{"lanes":[{"name":"read"}]}`
	settings2 = `{"lanes":[{"name":"read"},{"name":"write"}]}`
)

// history builds a registry with servers, a controller, nodes, limits, permits, a halted release, a version of settings
// in force, one under way, and a server that cannot be reached. Each line is one call; what it answers is pinned too.
var history = []step{
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
	// From here on the entries are in the log alone where a snapshot was taken before.
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

// refusals are writes that change nothing, by fault.
var refusals = []step{
	{"POST", "/registry/write", `{"ops":[{"kind":"update","id":"w1","uid":"s0","state":"DRAINING"}]}`}, // a repeated id gets the first answer
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

// reads are calls that show all that a registry holds.
var reads = []step{
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

// badCalls are calls that are the caller's fault, and those that renew leases or change members.
var badCalls = []step{
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

// played replaces the placeholders of a step.
func played(r *Replica, raftAddress, text string) string {
	text = revisionPlaceholder.ReplaceAllStringFunc(text, func(m string) string {
		n, err := strconv.ParseInt(m[1:], 10, 64)
		if err != nil {
			panic(err)
		}
		return strconv.FormatInt(1<<40+n, 10)
	})
	return strings.NewReplacer("HASH1", hashOf(settings1), "HASH2", hashOf(settings2), "RAFT", raftAddress, "ADDRESS", r.Addr()).Replace(text)
}

// termPattern finds raft's term in a status.
var termPattern = regexp.MustCompile(`"term":"\d+"`)

// play makes the calls in order and writes down what is sent and answered, with volatile values replaced.
func play(t *testing.T, r *Replica, steps ...step) []byte {
	t.Helper()
	_, id := r.raft.LeaderWithID()
	raftAddress := ""
	for _, s := range r.raft.GetConfiguration().Configuration().Servers {
		if s.ID == id {
			raftAddress = string(s.Address)
		}
	}
	var out bytes.Buffer
	for _, s := range steps {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		req, err := http.NewRequestWithContext(ctx, s.method, "http://"+r.Addr()+played(r, raftAddress, s.path), strings.NewReader(played(r, raftAddress, s.body)))
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
		fmt.Fprintf(&out, ">> %s %s\n%s\n<< %d\n", s.method, s.path, s.body, resp.StatusCode)
		writeHeaders(&out, resp.Header)
		text := strings.NewReplacer(r.Addr(), "ADDRESS", raftAddress, "RAFT").Replace(string(body))
		fmt.Fprintf(&out, "%s\n", strings.TrimSuffix(termPattern.ReplaceAllString(text, `"term":"TERM"`), "\n"))
	}
	return out.Bytes()
}

// writeHeaders writes headers in order, less those that differ from call to call.
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

// opened is a registry of one on a folder, which leads.
func opened(t *testing.T, dir string) *Replica {
	t.Helper()
	r, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	waitFor(t, "the replica to lead", func() bool { return r.raft.State() == raft.Leader && r.upToDate() == nil })
	return r
}

// waitFor polls until ok holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited %v for %s", limit, what)
		}
	}
}

// Every path of the API keeps its bodies, headers, status codes and error texts.
func TestAPIGolden(t *testing.T) {
	r := opened(t, t.TempDir())
	golden.Check(t, "api.golden", slices.Concat(play(t, r, history...), play(t, r, refusals...), play(t, r, reads...), play(t, r, badCalls...)))
}

// Entries of the log keep their form, which replicas of other versions read while a cluster is upgraded.
func TestLogEntriesGolden(t *testing.T) {
	r := opened(t, t.TempDir())
	play(t, r, history...)
	var out bytes.Buffer
	last, err := r.log.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= last; i++ {
		var l raft.Log
		if err := r.log.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			out.Write(bytes.ReplaceAll(l.Data, []byte(r.Addr()), []byte("ADDRESS")))
			out.WriteByte('\n')
		}
	}
	golden.Check(t, "log.golden", out.Bytes())
}

// A folder that the program wrote before its names were changed, with a snapshot and a log that goes on from it, gives all
// that it held.
func TestStoredFolder(t *testing.T) {
	r := opened(t, golden.CopyDir(t, "folder"))
	golden.Check(t, "folder.golden", play(t, r, reads...))
}

// So does a backup, once it is restored.
func TestStoredBackup(t *testing.T) {
	backup, err := os.ReadFile(filepath.Join("testdata", "backup.json"))
	if err != nil {
		t.Fatal(err)
	}
	r := opened(t, t.TempDir())
	resp, err := http.Post("http://"+r.Addr()+"/registry/restore", "application/json", bytes.NewReader(backup))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
	golden.Check(t, "backup.golden", play(t, r, reads...))
}

// A watch keeps its bytes: the head of the answer, the whole list, a change, one without an entry, and a heartbeat.
func TestWatchGolden(t *testing.T) {
	r := opened(t, t.TempDir())
	play(t, r, history[0])
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
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
		t.Fatalf("no whole list: %q", got.String())
	}
	play(t, r, step{"POST", "/registry/write", `{"ops":[{"kind":"update","uid":"s0","state":"DRAINING"},{"kind":"remove","uid":"s1"}]}`})
	readUntil(`"DELETED"`)
	play(t, r, step{"POST", "/registry/write", `{"ops":[{"kind":"put","key":"k","value":1}]}`})
	readUntil(`"targets":[]`)
	const heartbeat = "1\r\n\n\r\n"
	readUntil("\n" + heartbeat)
	// Heartbeats come by the clock, between any two changes.
	golden.Check(t, "watch.golden", append(bytes.ReplaceAll(got.Bytes(), []byte("\n"+heartbeat), []byte("\n")), heartbeat...))
}

// Figures keep their names, types, labels and buckets.
func TestMetricsGolden(t *testing.T) {
	r := opened(t, t.TempDir())
	play(t, r, history...)
	play(t, r, refusals...)
	resp, err := http.Get("http://" + r.Addr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "#") {
			line = line[:strings.LastIndexByte(line, ' ')] + "\n" // without the value
		}
		out.WriteString(line)
	}
	golden.Check(t, "metrics.golden", out.Bytes())
}

// A replica that does not lead hands writes and consistent reads to the one that does, once, with its id in a header, and
// passes the answer on; without a leader it says so.
func TestForwardGolden(t *testing.T) {
	addresses := make([]string, 4)
	for i := range addresses {
		addresses[i] = freeAddr(t)
	}
	peers := []Peer{{ID: "r0", RaftAddress: addresses[0], ClientAddress: addresses[1]}, {ID: "r1", RaftAddress: addresses[2], ClientAddress: addresses[3]}}
	var replicas []*Replica
	for i := range peers {
		r, err := New(Config{ID: peers[i].ID, DataDir: t.TempDir(), RaftAddress: peers[i].RaftAddress, ClientAddress: peers[i].ClientAddress, Peers: peers, Tick: 20 * time.Millisecond,
			Guard: ExpiryGuard{MaxZoneShare: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		replicas = append(replicas, r)
	}
	var out bytes.Buffer
	leader := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		text, err := httputil.DumpRequest(q, true)
		if err != nil {
			t.Error(err)
		}
		text = bytes.ReplaceAll(text, []byte(q.Host), []byte("HOST"))
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
	// The leader's entry among the members is made to name the stub. A new leader writes its own, so wait for that first.
	var lead, other *Replica
	waitFor(t, "a leader that has entered itself", func() bool {
		for i, r := range replicas {
			if r.raft.State() == raft.Leader && memberAddress(t, replicas[1-i], r.cfg.ID) == r.Addr() {
				lead, other = r, replicas[1-i]
				return true
			}
		}
		return false
	})
	play(t, lead, step{"POST", "/registry/write", `{"ops":[{"kind":"member","uid":"` + lead.cfg.ID + `","address":"` + strings.TrimPrefix(stub.URL, "http://") + `"}]}`})
	waitFor(t, "the follower to know the stub", func() bool {
		return memberAddress(t, other, lead.cfg.ID) == strings.TrimPrefix(stub.URL, "http://")
	})
	answers := play(t, other,
		step{"POST", "/registry/write", `{"ops":[{"kind":"nothing","id":"x"}]}`},
		step{"POST", "/registry/renew", `{"leases":[]}`},
		step{"POST", "/registry/restore", `{}`},
		step{"POST", "/registry/members", `{"remove":"r9"}`},
		step{"GET", "/registry/instances?consistent=1", ""},
		step{"GET", "/registry/agreed?consistent=1&units=1", ""})
	out.Write(answers)
	// One that was handed over already goes no further.
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
	// The roles of the two are drawn by an election.
	text := strings.NewReplacer(`X-Registry-Forwarded: `+other.cfg.ID, "X-Registry-Forwarded: FOLLOWER").Replace(out.String())
	golden.Check(t, "forward.golden", []byte(text))
}

// memberAddress is where a replica takes another's writers and readers to call.
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

// A replica without a leader refuses what needs one.
func TestNoLeaderGolden(t *testing.T) {
	r, err := New(Config{ID: "r0", DataDir: t.TempDir(), RaftAddress: freeAddr(t), ClientAddress: freeAddr(t), Tick: 20 * time.Millisecond,
		Guard: ExpiryGuard{MaxZoneShare: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	golden.Check(t, "noleader.golden", play(t, r,
		step{"POST", "/registry/write", `{"ops":[{"kind":"nothing"}]}`},
		step{"POST", "/registry/renew", `{"leases":[]}`},
		step{"GET", "/registry/instances", ""},
		step{"GET", "/registry/instances?consistent=1", ""},
		step{"GET", "/registry/instances?at_least=@1", ""},
		step{"GET", "/registry/agreed", ""},
		step{"GET", "/registry/status", ""},
		step{"GET", "/registry/backup", ""}))
}

// goFieldPattern finds a field of a Go type in the error of a value of the wrong type; its name is no part of the form.
var goFieldPattern = regexp.MustCompile("struct field .* of type")

// The configuration file keeps its keys, and what it says to bad values.
func TestConfigKeysGolden(t *testing.T) {
	const whole = `id = "r1"
dir = "data"
raft = "10.0.0.1:7401"
address = "10.0.0.1:7400"
tick = "50ms"
sync_wait = "wait"
[guard]
share = 0.4
least = 6
window = "4s"
confirm = "16s"
[[peer]]
id = "r1"
raft = "10.0.0.1:7401"
address = "10.0.0.1:7400"
[[peer]]
id = "r2"
raft = "10.0.0.2:7401"
address = "10.0.0.2:7400"
via = "127.0.0.1:9"
`
	path := filepath.Join(t.TempDir(), "r1.toml")
	var out bytes.Buffer
	read := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := ReadConfig(path)
		if err != nil {
			text := strings.ReplaceAll(err.Error(), path, "FILE")
			fmt.Fprintln(&out, goFieldPattern.ReplaceAllString(text, "struct field FIELD of type"))
			return
		}
		writeConfig(&out, c)
	}
	builtIn, err := ReadConfig("")
	if err != nil {
		t.Fatal(err)
	}
	writeConfig(&out, builtIn)
	read(whole)
	read("id = \"r0\"\n")
	for _, c := range [][2]string{{`id = "r1"` + "\ndir", `id = ""` + "\ndir"}, {`"data"`, `""`}, {`"10.0.0.1:7401"`, `"x"`}, {`"10.0.0.1:7400"`, `"x"`}, {`"50ms"`, `"5"`}, {`"50ms"`, `"-1s"`},
		{"0.4", "0.0"}, {"0.4", "1.5"}, {"6", "0"}, {`"4s"`, `"4"`}, {`"16s"`, `""`}, {`id = "r2"`, `id = ""`}, {"[[peer]]\nid = \"r1\"", "[[peer]]\nid = \"r3\""},
		{"tick", "tack"}, {"[guard]\nshare", "[guard]\nchair"}, {"via", "vai"}, {"least = 6", `least = "six"`}, {"[guard]", "[guard"}} {
		fmt.Fprintf(&out, "%q -> %q: ", c[0], c[1])
		read(strings.Replace(whole, c[0], c[1], 1))
	}
	golden.Check(t, "config.golden", out.Bytes())
}

// writeConfig writes what a configuration says, value by value.
func writeConfig(out *bytes.Buffer, c Config) {
	fmt.Fprintf(out, "%s %s %s %s %v %d %q\n", c.ID, c.DataDir, c.RaftAddress, c.ClientAddress, c.Tick, c.SnapshotThreshold, c.SyncDelayFile)
	fmt.Fprintf(out, "%v %d %v %v\n", c.Guard.MaxZoneShare, c.Guard.MinExpired, c.Guard.Window, c.Guard.ConfirmAfter)
	for _, p := range c.Peers {
		fmt.Fprintf(out, "%s %s %s %q\n", p.ID, p.RaftAddress, p.ClientAddress, p.DialAddress)
	}
}

// A peer keeps the names of its fields in a call that changes the members.
func TestPeerJSON(t *testing.T) {
	text, err := json.Marshal(Peer{ID: "r1", RaftAddress: "a:1", ClientAddress: "a:2", DialAddress: "a:3"})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"ID":"r1","Raft":"a:1","Address":"a:2","Via":"a:3"}`; string(text) != want {
		t.Errorf("%s, want %s", text, want)
	}
}
