package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/durable"
)

// A process is killed and another one starts with its snapshots, which may be damaged, missing or locked. The new process always
// serves, and logs which snapshot it has restored and which it has ignored.
func TestProgramKeepsState(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	dir := t.TempDir()
	state := filepath.Join(dir, "state")
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","state":{"dir":%q,"every_ms":20,"max_age_ms":3600000},
		"known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":%q,"az":"a","state":"SERVING"}]},
		"settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":2000}],"limits":{"max-attempts":3},"registry-mode":"on_request"}}`,
		state, strings.TrimPrefix(server.URL, "http://"))
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	corrupt := func(t *testing.T, files ...string) {
		for _, f := range files {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			text[len(text)/2] ^= 4
			if err := os.WriteFile(f, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, c := range []struct {
		name    string
		between func(t *testing.T, files []string)
		want    []string // in the log
	}{
		{"intact", func(*testing.T, []string) {}, []string{"knows 1 servers"}},
		{"newest corrupt", func(t *testing.T, l []string) { corrupt(t, l[len(l)-1]) }, []string{"passed over", "the checksum does not fit", "knows 1 servers"}},
		{"all corrupt", func(t *testing.T, l []string) { corrupt(t, l...) }, []string{"passed over"}},
		{"newest empty", func(t *testing.T, l []string) {
			if err := os.Truncate(l[len(l)-1], 0); err != nil {
				t.Fatal(err)
			}
		}, []string{"no state of this program", "knows 1 servers"}},
		{"of a newer version", func(t *testing.T, l []string) {
			s, err := durable.Open(durable.Options{Dir: state, Kind: "node", Schema: 99})
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(s.Save([]byte("{}"), time.Now()), s.Close()); err != nil {
				t.Fatal(err)
			}
		}, []string{"newer version", "knows 1 servers"}},
		{"from the future", func(t *testing.T, l []string) {
			s, err := durable.Open(durable.Options{Dir: state, Kind: "node", Schema: 1})
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(s.Save([]byte("{}"), time.Now().Add(24*time.Hour)), s.Close()); err != nil {
				t.Fatal(err)
			}
		}, []string{"the clock has gone back", "knows 1 servers"}},
		{"directory is a file", func(t *testing.T, l []string) {
			if err := errors.Join(os.RemoveAll(state), os.WriteFile(state, nil, 0o600)); err != nil {
				t.Fatal(err)
			}
		}, []string{"passed over", "not a directory"}},
		{"in use", func(t *testing.T, l []string) {
			lock, err := durable.LockDir(state)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { lock.Close() })
		}, []string{"another process keeps its state there"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.RemoveAll(state); err != nil {
				t.Fatal(err)
			}
			first := startProgram(t, config)
			for range 4 { // enough responses for the node to have data on the server
				if got := first.get("/read/1"); got != "200 served" {
					t.Fatalf("before: %q", got)
				}
			}
			learned := func() bool { // the last two contain the server, as the test may damage one of them
				l := savedSnapshots(t, state)
				if len(l) < 3 {
					return false
				}
				for _, f := range l[len(l)-2:] {
					s, err := durable.ReadFile(f)
					if err != nil || !strings.Contains(string(s.Payload), `"samples"`) {
						return false
					}
				}
				return true
			}
			eventually(t, "two snapshots that contain the server", learned)
			first.kill()
			c.between(t, savedSnapshots(t, state))
			second := startProgram(t, config)
			if got := second.get("/health/ready"); got != "200 " {
				t.Errorf("ready: %q", got)
			}
			if got := second.get("/read/1"); got != "200 served" {
				t.Errorf("after: %q", got)
			}
			for _, want := range c.want {
				eventually(t, fmt.Sprintf("%q in the log", want), func() bool { return strings.Contains(second.log(), want) })
			}
		})
	}
}
