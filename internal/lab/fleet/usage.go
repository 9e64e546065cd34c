package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Usage is the resource usage of a node's process.
type Usage struct {
	MemoryMB    float64 // resident
	Descriptors int
}

// Usage returns the current usage of a node's process, or false if the process is not running.
func (f *Fleet) Usage(node int) (u Usage, runs bool) {
	p := f.processes[node]
	if p.cmd == nil {
		return u, false
	}
	dir := filepath.Join("/proc", fmt.Sprint(p.cmd.Process.Pid))
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return u, false
	}
	statm, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return u, false
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return u, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return u, false
	}
	return Usage{MemoryMB: float64(pages) * float64(os.Getpagesize()) / (1 << 20), Descriptors: len(open)}, true
}
