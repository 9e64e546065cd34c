// Package cost measures throughput, added latency, processor time and memory of one node on one core, in comparison with
// a baseline relay and with no relay at all.
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

// Stats is the resource usage of a process between two signals.
type Stats struct {
	AllocBytes uint64             `json:"alloc_bytes"`
	Allocs     uint64             `json:"allocs"`
	CPUShare   map[string]float64 `json:"cpu_share"`   // by part; see Parts
	AllocShare map[string]float64 `json:"alloc_share"` // of the bytes
}

// The parts into which cost is split. PartNode is the program's other code. PartRuntime is everything else, which is mostly the
// scheduler and the garbage collector.
const (
	PartBalancer = "module"
	PartSockets  = "sockets"
	PartParsing  = "parsing"
	PartNode     = "own"
	PartRuntime  = "runtime"
)

// Parts lists all parts in the order in which they are printed.
var Parts = []string{PartBalancer, PartSockets, PartParsing, PartNode, PartRuntime}

// memProfileRate is the mean number of allocated bytes for each sample of the profile.
const memProfileRate = 8 << 10

// WriteStatsOnSignals makes this process write its Stats for the time between SIGUSR1 and SIGUSR2 to a file. It must be
// called before anything else, since it sets runtime.MemProfileRate.
func WriteStatsOnSignals(path string) {
	runtime.MemProfileRate = memProfileRate
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		var cpu bytes.Buffer
		var before runtime.MemStats
		var heap *profile.Profile
		for s := range signals {
			if s == syscall.SIGUSR1 {
				cpu.Reset()
				heap = allocProfile()
				runtime.ReadMemStats(&before)
				if err := pprof.StartCPUProfile(&cpu); err != nil {
					fmt.Fprintln(os.Stderr, "stats:", err)
				}
				continue
			}
			pprof.StopCPUProfile()
			var after runtime.MemStats
			runtime.ReadMemStats(&after)
			if err := writeStats(path, cpu.Bytes(), heap, allocProfile(), &before, &after); err != nil {
				fmt.Fprintln(os.Stderr, "stats:", err)
			}
		}
	}()
}

// allocProfile returns the profile of all allocations so far, or nil if there is none.
func allocProfile() *profile.Profile {
	runtime.GC() // the profile covers the time until the last collection
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

// writeStats writes the Stats of the time between two signals to a file, atomically.
func writeStats(path string, cpu []byte, from, to *profile.Profile, before, after *runtime.MemStats) error {
	s := Stats{AllocBytes: after.TotalAlloc - before.TotalAlloc, Allocs: after.Mallocs - before.Mallocs}
	p, err := profile.ParseData(cpu)
	if err != nil {
		return err
	}
	s.CPUShare = sharesByPart(p, len(p.SampleType)-1)
	if from != nil && to != nil {
		from.Scale(-1)
		diff, err := profile.Merge([]*profile.Profile{from, to})
		if err != nil {
			return err
		}
		s.AllocShare = sharesByPart(diff, 1) // alloc_space
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

// sharesByPart returns the share of each part in a profile's values of the given index.
func sharesByPart(p *profile.Profile, value int) map[string]float64 {
	sum := 0.0
	shares := map[string]float64{}
	for _, s := range p.Sample {
		v := float64(s.Value[value])
		sum += v
		shares[partOf(s)] += v
	}
	for k := range shares {
		shares[k] /= sum
	}
	return shares
}

// partOf returns the part of a sample. It is the balancer if the balancer is on the stack, and otherwise the part of the
// innermost frame that has one.
func partOf(s *profile.Sample) string {
	found := PartRuntime
	for _, l := range s.Location { // innermost first
		for _, line := range l.Line {
			if line.Function == nil {
				continue
			}
			name := line.Function.Name
			if strings.HasPrefix(name, "umberbank/balancer.") {
				return PartBalancer
			}
			if found != PartRuntime {
				continue
			}
			switch {
			case hasAnyPrefix(name, "internal/poll.", "syscall.", "net.(*", "runtime.netpoll", "internal/runtime/syscall"):
				found = PartSockets
			case hasAnyPrefix(name, "net/http", "net/textproto.", "net/url.", "bufio.", "io.", "mime"):
				found = PartParsing
			case hasAnyPrefix(name, "umberbank/", "main.", "context.", "time."):
				found = PartNode
			}
		}
	}
	return found
}

// hasAnyPrefix reports whether a name begins with one of the prefixes.
func hasAnyPrefix(name string, prefixes ...string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}
