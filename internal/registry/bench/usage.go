package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc files, starting at 0. Those of stat are counted after the process name.
const (
	statmResident = 1
	statUserTime  = 11
	statKernelEnd = 13 // index after the kernel time
)

// memory returns the resident memory of all replicas, in bytes. A replica that does not run counts as zero.
func (m *measurement) memory() float64 {
	sum := 0.0
	for i := range m.cluster.Len() {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cluster.PID(i)))
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(text)); len(fields) > statmResident {
			pages, _ := strconv.ParseFloat(fields[statmResident], 64) // the field is always a number
			sum += pages * float64(os.Getpagesize())
		}
	}
	return sum
}

// cpuTime returns the CPU time that all replicas have used, with a resolution of clockTick.
func (m *measurement) cpuTime() (sum time.Duration) {
	for i := range m.cluster.Len() {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cluster.PID(i)))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // the process name may contain any characters
		for _, field := range fields[statUserTime:statKernelEnd] {
			ticks, _ := strconv.Atoi(field) // the field is always a number
			sum += time.Duration(ticks) * clockTick
		}
	}
	return sum
}
