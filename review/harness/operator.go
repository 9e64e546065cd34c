package main

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

// command runs a command of the operators to its end, and returns what it printed.
func (p *play) command(command string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	shown := strings.ReplaceAll(command, p.dir, "$TMP")
	p.notef("operator: %s", shown)
	out, err := exec.CommandContext(ctx, "/bin/sh", "-c", "exec "+command).CombinedOutput()
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		p.notef("operator: answer to %q: %s", shown, line)
	}
	if err != nil {
		return string(out), fmt.Errorf("%s: %w: %s", shown, err, out)
	}
	return string(out), nil
}

// freeAddresses returns different loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
