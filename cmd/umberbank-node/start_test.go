package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// If the program cannot start, it prints one line with the reason on standard error and exits with code 1.
func TestProgramStartFaults(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	config := configOf(server)
	config.mode = "pushed"
	valid, _ := config.write(t)
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
		"no descriptor":      {valid, []string{"ROUTER_ACCEPT_FD=x"}, `ROUTER_ACCEPT_FD: "x" is no inherited descriptor`},
		"a standard stream":  {valid, []string{"ROUTER_ACCEPT_FD=2"}, `ROUTER_ACCEPT_FD: "2" is no inherited descriptor`},
		"closed descriptor":  {valid, []string{"ROUTER_ACCEPT_FD=99"}, "inherited descriptor 99: bad file descriptor"},
		"bad second address": {valid, []string{"ROUTER_CONTROL=nowhere"}, "control: listen tcp: address nowhere: missing port in address"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := programCommand(t, c.config)
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

// With a missing or malformed configuration the program prints one line on standard error and exits with code 1.
func TestProgramBadConfig(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(bad, []byte(`{"listen":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, config := range []string{"", filepath.Join(t.TempDir(), "none"), bad} {
		t.Run(filepath.Base(config), func(t *testing.T) {
			cmd := programCommand(t, config)
			var stdout, stderr bytes.Buffer
			cmd.Stdout, cmd.Stderr = &stdout, &stderr
			err := cmd.Run()
			if exit := new(exec.ExitError); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("config %q: %v", config, err)
			}
			if s := stderr.String(); strings.Count(s, "\n") != 1 || !strings.HasPrefix(s, "umberbank-node: ") || stdout.Len() > 0 {
				t.Errorf("config %q: standard error %q, output %q", config, s, stdout.String())
			}
		})
	}
}

// With an inherited descriptor that is not open or not a listening socket the program prints one line on standard error and exits
// with code 1.
func TestProgramBadDescriptor(t *testing.T) {
	config := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
		"settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":2000}],"limits":{"max-attempts":3}}}`
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, fd := range []string{"x", "-1", "1", "99"} {
		t.Run(fd, func(t *testing.T) {
			cmd := programCommand(t, config)
			cmd.Env = append(cmd.Env, "ROUTER_ACCEPT_FD="+fd)
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			err := cmd.Run()
			if exit := new(exec.ExitError); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("descriptor %q: %v", fd, err)
			}
			if s := stderr.String(); strings.Count(s, "\n") != 1 || !strings.Contains(s, "descriptor") {
				t.Errorf("descriptor %q: standard error %q", fd, s)
			}
		})
	}
}
