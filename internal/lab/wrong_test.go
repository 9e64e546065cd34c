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

// wrongTarget is a server as the wrong node knows it.
type wrongTarget struct {
	UID, Endpoint, State string
	BootMS               float64 `json:"boot_ms"`
}

// wrongServer is a small node that breaks one rule, by its mode.
type wrongServer struct {
	mode    string
	mu      sync.Mutex
	targets []wrongTarget
	next    atomic.Int64
	hoard   []*os.File
	journal string // a folder of what is in hand, for the process after this one
}

// wrongNode is the program of a node that breaks one rule.
func wrongNode(mode string) {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		panic(err)
	}
	var cfg struct {
		Listen, Discovery string
		Known             struct{ Targets []wrongTarget }
		State             struct{ Dir string }
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		panic(err)
	}
	s := &wrongServer{mode: mode, targets: cfg.Known.Targets}
	switch mode {
	case "deaf":
	case "patient":
		go s.watch(cfg.Discovery)
	default:
		go s.follow(cfg.Discovery)
	}
	if mode == "resend" {
		if err := s.resend(cfg.State.Dir); err != nil {
			panic(err)
		}
	}
	panic(http.ListenAndServe(cfg.Listen, s))
}

// follow asks for the list every now and then.
func (s *wrongServer) follow(addr string) {
	for ; ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/registry/instances")
		if err != nil {
			continue
		}
		var l struct{ Targets []wrongTarget }
		if json.NewDecoder(resp.Body).Decode(&l) == nil {
			s.mu.Lock()
			s.targets = l.Targets
			s.mu.Unlock()
		}
		resp.Body.Close()
	}
}

// watch follows the list on one watch, for good.
func (s *wrongServer) watch(addr string) {
	resp, err := http.Get("http://" + addr + "/registry/instances?follow=1&since=0")
	if err != nil {
		panic(err)
	}
	for d := json.NewDecoder(resp.Body); ; {
		var l struct {
			All     bool
			Targets []wrongTarget
		}
		if err := d.Decode(&l); err != nil {
			return
		}
		s.mu.Lock()
		if !l.All {
			news := l.Targets
			l.Targets = append(news, slices.DeleteFunc(s.targets, func(t wrongTarget) bool {
				return slices.ContainsFunc(news, func(n wrongTarget) bool { return n.UID == t.UID })
			})...)
		}
		s.targets = l.Targets
		s.mu.Unlock()
	}
}

// resend sends again what the process before this one had in hand when it died.
func (s *wrongServer) resend(dir string) error {
	s.journal = dir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	left, err := os.ReadDir(dir)
	for _, f := range left {
		text, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return err
		}
		path, body, _ := strings.Cut(string(text), "\n")
		req, err := http.NewRequest(http.MethodPost, "http://"+s.pick()+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("X-Correlation-Id", f.Name())
		go func() {
			if response, err := http.DefaultClient.Do(req); err == nil { // the client has disconnected: the answer goes nowhere
				response.Body.Close()
			}
		}()
	}
	return err
}

// lingering gives up by a plain close.
var lingering = &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// pick takes the serving servers in turn; a crowd takes the one that started last.
func (s *wrongServer) pick() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []wrongTarget
	for _, t := range s.targets {
		if t.State == "SERVING" {
			l = append(l, t)
		}
		if s.mode == "crowd" && t.BootMS > 0 {
			return t.Endpoint
		}
	}
	if len(l) == 0 {
		return "127.0.0.1:1"
	}
	return l[int(s.next.Add(1))%len(l)].Endpoint
}

func (s *wrongServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	send := func(path, id string) (int, string) {
		req, err := http.NewRequest(r.Method, "http://"+s.pick()+path, strings.NewReader(string(body)))
		if err != nil {
			return 502, ""
		}
		req.Header = r.Header.Clone()
		req.Header.Set("X-Correlation-Id", id)
		client := http.DefaultClient
		if s.mode == "lingering" {
			client = lingering
		}
		resp, err := client.Do(req)
		if err != nil {
			return 502, ""
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body) // half an answer is the test's own business
		return resp.StatusCode, string(b)
	}
	path, id := r.URL.RequestURI(), r.Header.Get("X-Correlation-Id")
	class := strings.Split(path, "/")[1]
	switch {
	case s.mode == "silent":
		<-r.Context().Done()
		return
	case s.mode == "hang-up":
		panic(http.ErrAbortHandler)
	case s.mode == "die" && s.next.Add(1) > 10:
		os.Exit(7)
	case s.mode == "resend" && class == "pay":
		held := filepath.Join(s.journal, id)
		if err := os.WriteFile(held, []byte(path+"\n"+string(body)), 0o600); err != nil {
			panic(err)
		}
		defer os.Remove(held)
	case s.mode == "twice" && class == "pay", s.mode == "elsewhere" && class == "apply":
		send(path, id)
	case s.mode == "many" && class == "read":
		for range 7 {
			send(path, id)
		}
	case s.mode == "late":
		time.Sleep(300 * time.Millisecond) // and does not look whether anybody still waits
	case s.mode == "beside" && class == "read":
		go send(path, id)
	case s.mode == "promise" && class == "pay":
		send(path, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case s.mode == "invent":
		send(path, id+"-mine")
	case s.mode == "alter" && class == "pay":
		body = append(body, " and more"...)
	case s.mode == "hoard":
		if f, err := os.Open(os.DevNull); err == nil {
			s.mu.Lock()
			s.hoard = append(s.hoard, f)
			s.mu.Unlock()
		}
	case s.mode == "make-up":
		io.WriteString(w, "all is well")
		return
	}
	status, answer := send(path, id)
	w.WriteHeader(status)
	io.WriteString(w, answer)
}
