package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// What keeps the program from starting, the one line that it writes then, and its exit code.
func TestProgramStartFaults(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	whole, _ := configFor(t, server, "127.0.0.1:1", "pushed")
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(bad, []byte(`{"listen":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		config string
		env    []string
		want   string
	}{
		"no configuration":   {"", nil, "ROUTER_CONFIG is not set"},
		"no such file":       {filepath.Join(dir, "none"), nil, "open " + filepath.Join(dir, "none") + ": no such file or directory"},
		"a bad file":         {bad, nil, bad + ": json: cannot unmarshal number into Go struct field .listen of type string"},
		"no descriptor":      {whole, []string{"ROUTER_ACCEPT_FD=x"}, `ROUTER_ACCEPT_FD: "x" is no inherited descriptor`},
		"a standard stream":  {whole, []string{"ROUTER_ACCEPT_FD=2"}, `ROUTER_ACCEPT_FD: "2" is no inherited descriptor`},
		"closed descriptor":  {whole, []string{"ROUTER_ACCEPT_FD=99"}, "inherited descriptor 99: bad file descriptor"},
		"bad second address": {whole, []string{"ROUTER_CONTROL=nowhere"}, "control: listen tcp: address nowhere: missing port in address"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := command(t, c.config)
			cmd.Env = append(cmd.Env, c.env...)
			var stdout, stderr bytes.Buffer
			cmd.Stdout, cmd.Stderr = &stdout, &stderr
			err := cmd.Run()
			exit := new(exec.ExitError)
			if !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("exit: %v, want 1", err)
			}
			if got := stderr.String(); got != "umberbank-node: "+c.want+"\n" || stdout.Len() > 0 {
				t.Errorf("standard error %q, want %q; output %q", got, c.want, stdout.String())
			}
		})
	}
}
