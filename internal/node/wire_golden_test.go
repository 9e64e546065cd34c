package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
)

// Every line that operators can send to the second address, and the answer to it.
func TestGoldenControl(t *testing.T) {
	t.Parallel()
	n := startControlled(t, testConfig("127.0.0.1:1"))
	var b strings.Builder
	say := func(line, answer string) { fmt.Fprintf(&b, "%.40q -> %q\n", line, answer) }
	for _, line := range []string{"check\n", "check\r\n", "drain-on\n", "drain-off\n", "\n", "nonsense\n", "CHECK\n", "check it\n", "vars \n",
		strings.Repeat("x", 300) + "\n"} {
		say(line, ask(t, n, line))
	}
	say("(took too long)", n.control.answer("che", os.ErrDeadlineExceeded))
	say("(no end)", n.control.answer("check", io.EOF))
	calls := n.calls()
	n.stopping.Store(true)
	say("drain-off while stopping", calls["drain-off"]())
	n.stopping.Store(false)
	n.serving.Store(false)
	say("check before serving", calls["check"]())
	n.serving.Store(true)
	golden(t, "control.golden", b.String())
}

// The keys of the operators' figures, each with a value of its own.
func TestGoldenFigures(t *testing.T) {
	m := &metrics{}
	m.list("idle")
	for status, times := range map[int]int{200: 1, 503: 2, 502: 4} {
		for range times {
			m.answered("read", status, false)
		}
	}
	m.answered("read", 200, true)
	m.answered("read", 429, false)
	m.outstanding.Store(11)
	m.forwards.Store(12)
	m.discovered.Store(13)
	m.ejected.Store(14)
	m.applied.Store(15)
	m.rejected.Store(16)
	golden(t, "figures.golden", m.text()+"\n")
}

var (
	dateLine     = regexp.MustCompile(`(?m)^Date: .*\r\n`)
	timeLeftLine = regexp.MustCompile(`X-Time-Left: \d+u`)
	portNumber   = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// What clients get, byte for byte but for the date, for requests that are not taken, are refused, fail, and are served.
func TestGoldenAnswers(t *testing.T) {
	t.Parallel()
	addr, _ := stub(t, ok, false)
	served := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	refusing := startNode(t, testConfig("127.0.0.1:1"), moduleFunc(func(e balancer.Event) []balancer.Action {
		r, is := e.(balancer.Request)
		switch {
		case is && r.Class == "read":
			return []balancer.Action{balancer.Reject{ID: r.ID, RetryAfter: 1250 * time.Millisecond}}
		case is:
			return []balancer.Action{balancer.Fail{ID: r.ID}}
		}
		return nil
	}))
	const id, left = "X-Correlation-Id: c-1\r\n", "X-Time-Left: 9000m\r\n"
	var b strings.Builder
	for _, c := range []struct {
		n       *Node
		request string
	}{
		{served, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "GET /read/1 HTTP/1.0\r\n" + id + left + "\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + left + "\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + "\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + "X-Time-Left: 480\r\n\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + "X-Time-Left: -5m\r\n\r\n"},
		{served, "GET / HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "GET /reads/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "PUT /read/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "POST /send/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "Content-Length: 0\r\n\r\n"},
		{served, "POST /order/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "Content-Length: 33554433\r\n\r\n"},
		{refusing, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{refusing, "POST /order/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "Content-Length: 0\r\n\r\n"},
	} {
		fmt.Fprintf(&b, "%q\n%q\n", c.request, rawAnswer(t, c.n, c.request))
	}
	golden(t, "answers.golden", b.String())
}

// rawAnswer is the whole answer to a request, without its date.
func rawAnswer(t *testing.T, n *Node, request string) string {
	t.Helper()
	c := dial(t, n.Addr().String())
	io.WriteString(c, request)
	var raw strings.Builder
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), nil)
	if err != nil {
		t.Fatalf("%q: %v", request, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("%q: %v", request, err)
	}
	return dateLine.ReplaceAllString(raw.String(), "")
}

// What servers get, byte for byte but for the time that is left: what of a client's headers is forwarded, and what is added.
func TestGoldenForwarded(t *testing.T) {
	t.Parallel()
	heads := make(chan string, 10)
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		var head strings.Builder
		requests := bufio.NewReader(io.TeeReader(r, &head))
		for { // a connection that the server closes might take the next request along
			req, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			heads <- timeLeftLine.ReplaceAllString(portNumber.ReplaceAllString(head.String(), "ADDR"), "X-Time-Left: TIMEu")
			head.Reset()
			io.WriteString(c, ok)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	const common = "Host: app\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\nX-Facts: effort-ms=2\r\nX-Repeat: 1\r\nX-Other: o\r\nAccept: */*\r\n" +
		"User-Agent: u\r\nIdempotency-Key: k\r\nContent-Type: a/b\r\nCookie: c\r\n"
	var b strings.Builder
	for _, request := range []string{
		"GET /read//7f%2F3a?q=1&q=2 HTTP/1.1\r\n" + common + "\r\n",
		"POST /send/1 HTTP/1.1\r\n" + common + "Content-Length: 4\r\n\r\nbody",
		"GET /read/1 HTTP/1.0\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n",
	} {
		rawAnswer(t, n, request)
		fmt.Fprintf(&b, "%q\n%q\n", request, wait(t, heads))
	}
	golden(t, "forwarded.golden", b.String())
}

// What the decisions are told of a client's request.
func TestGoldenRequestHeaders(t *testing.T) {
	t.Parallel()
	requests := make(chan balancer.Request, 1)
	n := startNode(t, testConfig("127.0.0.1:1"), moduleFunc(func(e balancer.Event) []balancer.Action {
		if r, is := e.(balancer.Request); is {
			requests <- r
			return []balancer.Action{balancer.Fail{ID: r.ID}}
		}
		return nil
	}))
	for _, c := range []struct {
		repeat, facts string
		again         bool
		cost          time.Duration
	}{{"1", "effort-ms=2.5", true, 2500 * time.Microsecond}, {"0", "effort=2", false, 0}, {"", "", false, 0}} {
		r := newRequest(t, n, "GET", "/read/1", "")
		r.Header.Set("X-Repeat", c.repeat)
		r.Header.Set("X-Facts", c.facts)
		do(t, r)
		if got := wait(t, requests); got.ClientRetry != c.again || got.CostHint != c.cost || got.Class != "read" {
			t.Errorf("X-Repeat %q, X-Facts %q: %+v", c.repeat, c.facts, got)
		}
	}
}

// What discovery is asked, byte for byte.
func TestGoldenDiscoveryRequests(t *testing.T) {
	t.Parallel()
	heads := make(chan string, 2)
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		var head strings.Builder
		if _, err := http.ReadRequest(bufio.NewReader(io.TeeReader(r, &head))); err != nil {
			return
		}
		heads <- portNumber.ReplaceAllString(head.String(), "ADDR")
		io.WriteString(c, "HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n")
	})
	d := newDiscovery(addr)
	var b strings.Builder
	_, err := d.list(context.Background())
	fmt.Fprintf(&b, "list: %q\n%v\n", wait(t, heads), err)
	err = d.watch(context.Background(), 41, func() {}, func() {}, func(List) {})
	fmt.Fprintf(&b, "watch: %q\n%v\n", wait(t, heads), err)
	golden(t, "discovery-requests.golden", b.String())
}

const fullTarget = `{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":3,"state":"DRAINING","capacity_hint":2.5,"boot_ms":1500.5}`

// What is read of discovery's messages: every key counts, and how a bad message is described.
func TestGoldenDiscoveryMessages(t *testing.T) {
	t.Parallel()
	whole := `{"rev":42,"all":true,"targets":[` + fullTarget + `]}`
	l, err := parseList([]byte(whole))
	if err != nil || l.Rev != 42 || !l.All || len(l.Targets) != 1 {
		t.Fatalf("%+v, %v", l, err)
	}
	want := balancer.Endpoint{ID: "s-1", Zone: "a", Cell: 3, State: balancer.Draining, Weight: 2.5, StartTime: 1500500 * time.Microsecond}
	if got := l.Targets[0].server(); !reflect.DeepEqual(got, want) || l.Targets[0].Endpoint != "127.0.0.1:9" {
		t.Errorf("got %+v, want %+v", l.Targets[0], want)
	}
	for name, state := range map[string]balancer.EndpointState{"SERVING": balancer.Ready, "DRAINING": balancer.Draining, "DELETED": balancer.Removed} {
		if l, err := parseList([]byte(strings.Replace(whole, "DRAINING", name, 1))); err != nil || l.Targets[0].server().State != state {
			t.Errorf("%s: %+v, %v", name, l, err)
		}
	}
	var b strings.Builder
	for _, bad := range []string{`{"rev":42,"all":true}`, strings.Replace(whole, "s-1", "", 1), strings.Replace(whole, "DRAINING", "SLEEPING", 1),
		strings.Replace(whole, "127.0.0.1:9", "here", 1), "nonsense"} {
		_, err := parseList([]byte(bad))
		fmt.Fprintf(&b, "%s\n%v\n", bad, err)
	}
	golden(t, "discovery-messages.golden", b.String())
}

// fullConfig has every key that a configuration may have, none with its default.
const fullConfig = `{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","control":"127.0.0.1:3001","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.5,"memory_mb":192,"sockets":512},"peers":["127.0.0.1:1"],
 "known":{"rev":41,"all":true,"targets":[` + fullTarget + `]},
 "registry":{"endpoints":["127.0.0.1:7400"],"cache":"/cache"},
 "state":{"dir":"/state","every_ms":250,"max_age_ms":1500},
 "agreed":{"endpoints":["127.0.0.1:7401"],"tier":"front","zone":"a","region":"r","sends_to":"web","capacity":2,"ttl_ms":900,"by_agent":true,"keep":"/keep"},
 "settings":{"balancers":3,"blend":{"whole":0.3,"worst-class":0.7},
  "lanes":[{"deadline-ms":400,"effect":"idempotency_key","key-scope":"zone","late-share":0.25,"name":"read","stream":true,"target-ms":100,"window-ms":9000,"worth":4}],
  "limits":{"cancelling":true,"conn-idle-ms":30000,"connect-timeout-ms":200,"max-attempts":5,"max-retry-after-ms":1900,"second-copies":true,"retry-after":true},
  "registry-mode":"on_request","rules":{"ask-within-ms":70,"cold-from":0.4,"fall-ms":80,"fall-multiple":3,"warm-after-ms":900},
  "me":2,"tick-ms":5,"tier":1,"weights":"live"}}`

// goType is what an error of encoding/json says of the Go type that a key is read into.
var goType = regexp.MustCompile(`(?:Go struct field \w*\.|Go value)|(?: of type .*$)`)

// settingFault is what the settings' own check says of a value: its wording is the decisions'.
var settingFault = regexp.MustCompile(`^\w+: setting .*$`)

// faultOf is an error of a configuration without the names of Go types and without the wording of the settings' own check.
func faultOf(err error) string {
	return settingFault.ReplaceAllString(goType.ReplaceAllString(err.Error(), ""), "a setting is missing or out of range")
}

// Each key of a configuration in turn is left out, and then has a value of another kind: what that does at the start and at a
// reload. A key that were read under another name would show as one that changes nothing.
func TestGoldenConfigKeys(t *testing.T) {
	t.Parallel()
	whole, err := parseConfig([]byte(fullConfig))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	try := func(what string, file any) {
		text, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := parseConfig(text)
		start, reload := "changes nothing", "taken"
		if err != nil {
			start, reload = faultOf(err), "-"
		} else {
			if err := reloadable(whole.shape, cfg); err != nil {
				reload = err.Error()
			}
			if cfg.shape, cfg.text = whole.shape, whole.text; !reflect.DeepEqual(cfg, whole) {
				start = "changes the configuration"
			}
		}
		fmt.Fprintf(&b, "%s: start: %s; reload: %s\n", what, start, reload)
	}
	decode := func() (file map[string]any) {
		if err := json.Unmarshal([]byte(fullConfig), &file); err != nil {
			t.Fatal(err)
		}
		return file
	}
	try("whole", decode())
	for _, path := range keyPaths("", decode()) {
		file := decode()
		object, key := locate(file, path)
		delete(object, key)
		try(path+" left out", file)
		file = decode()
		object, key = locate(file, path)
		if _, is := object[key].(string); is {
			object[key] = 7
		} else {
			object[key] = "text"
		}
		try(path+" of another kind", file)
	}
	golden(t, "config-keys.golden", b.String())
}

// keyPaths are the paths of all keys of an object, in order; a list is stood for by its first entry.
func keyPaths(path string, object map[string]any) (paths []string) {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		at := strings.TrimPrefix(path+"."+key, ".")
		paths = append(paths, at)
		paths = append(paths, keyPaths(at, inner(object[key]))...)
	}
	return paths
}

// inner is the object that a value is, or begins with; nil: none.
func inner(v any) map[string]any {
	if list, is := v.([]any); is && len(list) > 0 {
		v = list[0]
	}
	object, _ := v.(map[string]any)
	return object
}

// locate finds the object in which the last key of a path stands.
func locate(file map[string]any, path string) (object map[string]any, key string) {
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		file = inner(file[key])
	}
	return file, keys[len(keys)-1]
}

// Bad values of single keys, and the one line that each gives.
func TestGoldenConfigFaults(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for _, replace := range [][2]string{
		{`"127.0.0.1:3000"`, `"here"`}, {`"127.0.0.1:8500"`, `"there"`}, {`"127.0.0.1:7400"`, `"x"`}, {`"127.0.0.1:7401"`, `"y"`},
		{`"tier":"front"`, `"tier":""`}, {`"by_agent":true`, `"by_agent":false`}, {`"by_agent":true`, `"by_agent":false,"tier":""`}, {`"capacity":2,`, `"capacity":-2,`}, {`"ttl_ms":900`, `"ttl_ms":-1`},
		{"8c1f30d27a5be964", "seed"}, {`"cores":1.5`, `"cores":-1`}, {`"memory_mb":192`, `"memory_mb":-1`}, {`"sockets":512`, `"sockets":-1`},
		{"DRAINING", "SLEEPING"}, {`"every_ms":250`, `"every_ms":0`}, {`"max_age_ms":1500`, `"max_age_ms":1e300`}, {`"settings":`, `"s":`},
		{`"deadline-ms":400`, `"deadline-ms":0`}, {`"target-ms":100`, `"target-ms":0`}, {`{"name"`, `name`},
	} {
		_, err := parseConfig([]byte(strings.Replace(fullConfig, replace[0], replace[1], 1)))
		fault := "none"
		if err != nil {
			fault = faultOf(err)
		}
		fmt.Fprintf(&b, "%s -> %s\n%s\n", replace[0], replace[1], fault)
	}
	golden(t, "config-faults.golden", b.String())
}
