// Package cost measures what one node on one core holds, adds and uses, beside a bare relay and no relay at all.
package cost

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"

	"github.com/google/pprof/profile"
)

// Stats is what a process used between two signals.
type Stats struct {
	AllocBytes uint64             `json:"alloc_bytes"`
	Allocs     uint64             `json:"allocs"`
	CPUShare   map[string]float64 `json:"cpu_share"`   // by part; see Parts
	AllocShare map[string]float64 `json:"alloc_share"` // of the bytes
}

// The parts that cost is split into. Own is the node's code between them, runtime the scheduler and the collector.
const (
	Module  = "module"
	Sockets = "sockets"
	Parsing = "parsing"
	Own     = "own"
	Runtime = "runtime"
)

// Parts are all of them, in the order in which they are shown.
var Parts = []string{Module, Sockets, Parsing, Own, Runtime}

// allocRate is how many bytes are allocated for each that the profile looks at.
const allocRate = 8 << 10

// Watch makes this process write what it used between SIGUSR1 and SIGUSR2 to a file. It belongs at the very start.
func Watch(path string) {
	runtime.MemProfileRate = allocRate
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		var cpu bytes.Buffer
		var before runtime.MemStats
		var heap *profile.Profile
		for s := range signals {
			if s == syscall.SIGUSR1 {
				cpu.Reset()
				heap = allocs()
				runtime.ReadMemStats(&before)
				if err := pprof.StartCPUProfile(&cpu); err != nil {
					fmt.Fprintln(os.Stderr, "stats:", err)
				}
				continue
			}
			pprof.StopCPUProfile()
			var after runtime.MemStats
			runtime.ReadMemStats(&after)
			if err := write(path, cpu.Bytes(), heap, allocs(), &before, &after); err != nil {
				fmt.Fprintln(os.Stderr, "stats:", err)
			}
		}
	}()
}

// allocs is the profile of all that was allocated until now; nil if there is none.
func allocs() *profile.Profile {
	runtime.GC() // the profile is as of the last collection
	var b bytes.Buffer
	if pprof.Lookup("allocs").WriteTo(&b, 0) != nil {
		return nil
	}
	p, err := profile.ParseData(b.Bytes())
	if err != nil {
		return nil
	}
	return p
}

func write(path string, cpu []byte, from, to *profile.Profile, before, after *runtime.MemStats) error {
	s := Stats{AllocBytes: after.TotalAlloc - before.TotalAlloc, Allocs: after.Mallocs - before.Mallocs}
	p, err := profile.ParseData(cpu)
	if err != nil {
		return err
	}
	s.CPUShare = split(p, len(p.SampleType)-1)
	if from != nil && to != nil {
		from.Scale(-1)
		diff, err := profile.Merge([]*profile.Profile{from, to})
		if err != nil {
			return err
		}
		s.AllocShare = split(diff, 1) // alloc_space
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// split says which share of a profile's values belongs to which part.
func split(p *profile.Profile, value int) map[string]float64 {
	sum := 0.0
	shares := map[string]float64{}
	for _, s := range p.Sample {
		v := float64(s.Value[value])
		sum += v
		shares[part(s)] += v
	}
	for k := range shares {
		shares[k] /= sum
	}
	return shares
}

// part is the one that a sample belongs to: the module wherever it is on the stack, else the part of the innermost
// frame that says one.
func part(s *profile.Sample) string {
	found := Runtime
	for _, l := range s.Location { // the innermost first
		for _, line := range l.Line {
			if line.Function == nil {
				continue
			}
			name := line.Function.Name
			if strings.HasPrefix(name, "umberbank/balancer.") {
				return Module
			}
			if found != Runtime {
				continue
			}
			switch {
			case hasAny(name, "internal/poll.", "syscall.", "net.(*", "runtime.netpoll", "internal/runtime/syscall"):
				found = Sockets
			case hasAny(name, "net/http", "net/textproto.", "net/url.", "bufio.", "io.", "mime"):
				found = Parsing
			case hasAny(name, "umberbank/", "main.", "context.", "time."):
				found = Own
			}
		}
	}
	return found
}

func hasAny(name string, prefixes ...string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}
