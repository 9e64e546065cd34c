package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc files, from 0; those of stat count from behind the process's name.
const (
	statmResident = 1
	statUserTime  = 11
	statKernelEnd = 13 // behind the system time
)

// memory is the resident memory of the replicas, in bytes.
func (m *measurement) memory() float64 {
	sum := 0.0
	for i := range m.cluster.Len() {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cluster.PID(i)))
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(text)); len(fields) > statmResident {
			pages, _ := strconv.ParseFloat(fields[statmResident], 64) // the kernel writes numbers
			sum += pages * float64(os.Getpagesize())
		}
	}
	return sum
}

// cpuTime is the processor time that the replicas have used, in steps of clockTick.
func (m *measurement) cpuTime() (sum time.Duration) {
	for i := range m.cluster.Len() {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cluster.PID(i)))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // the name before it may hold anything
		for _, field := range fields[statUserTime:statKernelEnd] {
			ticks, _ := strconv.Atoi(field) // the kernel writes numbers
			sum += time.Duration(ticks) * clockTick
		}
	}
	return sum
}
