// Command cases-2 plays the cases 6 to 10 of the review. Each case starts the project's programs as processes on loopback
// addresses, plays clients, servers and the platform, and checks one rule by what these observe.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in the environment a case leaves its
// disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration limits a case, including the time to end its processes.
const maxDuration = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns the violations that it has seen, or an error if it could not run.
var cases = map[string]func(*site) (violations []string, err error){
	"leave-in-bursts":          playLeaveInBursts,          // case 6
	"restart-without-registry": playRestartWithoutRegistry, // case 7
	"hand-over":                playHandOver,               // case 8
	"drain-and-cut":            playDrainAndCut,            // case 9
	"improper-request":         playImproperRequest,        // case 10
	"restore-permit":           playRestorePermit,          // no case; see the report
	"restore":                  playRestore,                // no case; see the report
	"replica-apart":            playReplicaApart,           // no case; see the report
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, recordFile string) int {
	s, err := newSite(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		violations []string
		err        error
	}
	ended := make(chan outcome, 1)
	go func() {
		violations, err := cases[name](s)
		ended <- outcome{violations, err}
	}()
	var o outcome
	select {
	case o = <-ended:
	case <-signals:
		o.err = errors.New("interrupted")
	case <-time.After(maxDuration):
		o.err = fmt.Errorf("not ended after %v", maxDuration)
	}
	for _, v := range o.violations {
		s.record("BROKEN: %s", v)
	}
	switch {
	case o.err != nil:
		s.record("could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, "could not run:", o.err)
		return exitNotRun
	case len(o.violations) > 0:
		fmt.Printf("%s: broken, %d times; first: %s\n", name, len(o.violations), o.violations[0])
		return exitBroken
	}
	s.record("the rule held")
	fmt.Printf("%s: held\n", name)
	return exitHeld
}
