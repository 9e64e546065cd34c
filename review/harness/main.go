// Command harness plays the cases of the review. Each case starts the project's programs as processes on loopback addresses,
// with stand-ins for their clients, servers and platform, and checks one rule by what these observe.
//
// It exits with code 1 if the rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// playTimeout ends a case that does not end by itself, before the 120 s that a case may take.
const playTimeout = 110 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases has the cases by the name with which run.sh calls them.
var cases = map[string]func(*play) error{
	"foreign-answer":   foreignAnswer,
	"never-ready":      neverReady,
	"repeated-restore": repeatedRestore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE DIRECTORY, from the root of the repository")
		os.Exit(exitUnable)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays one case, with its record in a directory, and returns the exit code.
func run(name, dir string) int {
	temporary, err := os.MkdirTemp("", "umberbank-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer os.RemoveAll(temporary)
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer record.close()
	p := &play{record: record, dir: temporary, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.stopAll()
	p.logf("case %s, with the disruption: %v", name, p.trouble)

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	played := make(chan error, 1)
	go func() { played <- cases[name](p) }()
	select {
	case err = <-played:
	case s := <-signals:
		err = fmt.Errorf("interrupted by %v", s)
	case <-time.After(playTimeout):
		err = fmt.Errorf("not ended within %v", playTimeout)
	}
	switch {
	case err == nil:
		p.logf("RESULT: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		p.logf("RESULT: %v", err)
		return exitBroken
	}
	p.logf("RESULT: the case could not be played: %v", err)
	return exitUnable
}
