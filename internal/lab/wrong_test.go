package lab

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM)
}

// faultyNodeTarget is a server in the list of a faulty node.
type faultyNodeTarget struct {
	UID, Endpoint, State string
	BootMS               float64 `json:"boot_ms"`
}

// faultyNode is a minimal node that breaks the rule given by its mode.
type faultyNode struct {
	mode      string
	mu        sync.Mutex
	targets   []faultyNodeTarget
	next      atomic.Int64
	openFiles []*os.File
	journal   string // directory of the requests in flight, from which the next process resends them
}

// runFaultyNode runs this process as a node that breaks the rule given by mode.
func runFaultyNode(mode string) {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		panic(err)
	}
	var cfg struct {
		Listen, Discovery string
		Known             struct{ Targets []faultyNodeTarget }
		State             struct{ Dir string }
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		panic(err)
	}
	s := &faultyNode{mode: mode, targets: cfg.Known.Targets}
	switch mode {
	case "ignore-discovery":
	case "ignore-silent-watch":
		go s.watch(cfg.Discovery)
	default:
		go s.follow(cfg.Discovery)
	}
	if mode == "resend-after-restart" {
		if err := s.resend(cfg.State.Dir); err != nil {
			panic(err)
		}
	}
	panic(http.ListenAndServe(cfg.Listen, s))
}

// follow polls the list every 20 ms.
func (s *faultyNode) follow(addr string) {
	for ; ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/registry/instances")
		if err != nil {
			continue
		}
		var l struct{ Targets []faultyNodeTarget }
		if json.NewDecoder(resp.Body).Decode(&l) == nil {
			s.mu.Lock()
			s.targets = l.Targets
			s.mu.Unlock()
		}
		resp.Body.Close()
	}
}

// watch follows the list on a single watch, which it never renews.
func (s *faultyNode) watch(addr string) {
	resp, err := http.Get("http://" + addr + "/registry/instances?follow=1&since=0")
	if err != nil {
		panic(err)
	}
	for d := json.NewDecoder(resp.Body); ; {
		var l struct {
			All     bool
			Targets []faultyNodeTarget
		}
		if err := d.Decode(&l); err != nil {
			return
		}
		s.mu.Lock()
		if !l.All {
			changed := l.Targets
			l.Targets = append(changed, slices.DeleteFunc(s.targets, func(t faultyNodeTarget) bool {
				return slices.ContainsFunc(changed, func(c faultyNodeTarget) bool { return c.UID == t.UID })
			})...)
		}
		s.targets = l.Targets
		s.mu.Unlock()
	}
}

// resend sends the requests again that were in flight when the previous process died.
func (s *faultyNode) resend(dir string) error {
	s.journal = dir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	entries, err := os.ReadDir(dir)
	for _, f := range entries {
		text, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return err
		}
		path, body, _ := strings.Cut(string(text), "\n")
		req, err := http.NewRequest(http.MethodPost, "http://"+s.pickServer()+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("X-Correlation-Id", f.Name())
		go func() {
			if response, err := http.DefaultClient.Do(req); err == nil { // dropped, because the client has disconnected
				response.Body.Close()
			}
		}()
	}
	return err
}

// closingClient closes the connection when an attempt times out, without a reset.
var closingClient = &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// pickServer returns the address of a serving server, using the servers in turn. In mode overload-new-server it returns that of a
// server that has restarted, if there is one.
func (s *faultyNode) pickServer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []faultyNodeTarget
	for _, t := range s.targets {
		if t.State == "SERVING" {
			l = append(l, t)
		}
		if s.mode == "overload-new-server" && t.BootMS > 0 {
			return t.Endpoint
		}
	}
	if len(l) == 0 {
		return "127.0.0.1:1"
	}
	return l[int(s.next.Add(1))%len(l)].Endpoint
}

func (s *faultyNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	send := func(path, id string) (int, string) {
		req, err := http.NewRequest(r.Method, "http://"+s.pickServer()+path, strings.NewReader(string(body)))
		if err != nil {
			return 502, ""
		}
		req.Header = r.Header.Clone()
		req.Header.Set("X-Correlation-Id", id)
		client := http.DefaultClient
		if s.mode == "close-without-reset" {
			client = closingClient
		}
		resp, err := client.Do(req)
		if err != nil {
			return 502, ""
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body) // a truncated response is passed on
		return resp.StatusCode, string(b)
	}
	path, id := r.URL.RequestURI(), r.Header.Get("X-Correlation-Id")
	class := strings.Split(path, "/")[1]
	switch {
	case s.mode == "no-response":
		<-r.Context().Done()
		return
	case s.mode == "close-connection":
		panic(http.ErrAbortHandler)
	case s.mode == "exit" && s.next.Add(1) > 10:
		os.Exit(7)
	case s.mode == "resend-after-restart" && class == "pay":
		file := filepath.Join(s.journal, id)
		if err := os.WriteFile(file, []byte(path+"\n"+string(body)), 0o600); err != nil {
			panic(err)
		}
		defer os.Remove(file)
	case s.mode == "send-twice" && class == "pay", s.mode == "resend-elsewhere" && class == "apply":
		send(path, id)
	case s.mode == "many-attempts" && class == "read":
		for range 7 {
			send(path, id)
		}
	case s.mode == "send-after-disconnect":
		time.Sleep(300 * time.Millisecond) // does not check whether the client is still connected
	case s.mode == "hedge" && class == "read":
		go send(path, id)
	case s.mode == "reject-after-sending" && class == "pay":
		send(path, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case s.mode == "invent-request":
		send(path, id+"-mine")
	case s.mode == "alter-body" && class == "pay":
		body = append(body, " and more"...)
	case s.mode == "leak-descriptors":
		if f, err := os.Open(os.DevNull); err == nil {
			s.mu.Lock()
			s.openFiles = append(s.openFiles, f)
			s.mu.Unlock()
		}
	case s.mode == "invent-response":
		io.WriteString(w, "all is well")
		return
	}
	status, answer := send(path, id)
	w.WriteHeader(status)
	io.WriteString(w, answer)
}
