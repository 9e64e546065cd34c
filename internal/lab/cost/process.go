package cost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"umberbank/internal/httpclient"
	"umberbank/internal/process"
)

// clockTicksPerSecond is the number of clock ticks per second. /proc gives processor time in clock ticks.
const clockTicksPerSecond = 100

// measuredProcess is a process whose cost is measured.
type measuredProcess struct {
	cmd       *exec.Cmd
	addr      string
	statsPath string
	logPath   string
	pinned    bool
}

// address returns the address of the process, which is the same for every connection.
func (p *measuredProcess) address(int) string { return p.addr }

// startMeasured starts a command with GOMAXPROCS=1, pins it to a core if possible, and waits until it is ready.
func startMeasured(ctx context.Context, launcher *process.Launcher, command []string, env []string, dir, name, addr string) (*measuredProcess, error) {
	p := &measuredProcess{addr: addr, statsPath: filepath.Join(dir, name+".stats"), logPath: filepath.Join(dir, name+".log")}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(command[0], append(command[1:len(command):len(command)], "--stats", p.statsPath)...)
	p.cmd.Env = append(append(os.Environ(), "GOMAXPROCS=1"), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := launcher.Start(p.cmd); err != nil {
		return nil, err
	}
	p.pinned = pin(p.cmd.Process.Pid)
	client := &http.Client{CheckRedirect: httpclient.ReturnRedirect}
	deadline := time.Now().Add(startTimeout)
	for {
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return p, nil
			}
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			p.stop()
			return nil, errors.Join(fmt.Errorf("%s is not ready: %s", name, p.logTail()), ctx.Err())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// pin binds a process to the last core that this program may use, as the load runs mostly on the others. It returns false
// if that is not possible.
func pin(pid int) bool {
	var allowed unix.CPUSet
	if unix.SchedGetaffinity(0, &allowed) != nil || allowed.Count() < 2 {
		return false
	}
	last := 0
	for i := range 8 * len(allowed) * 8 {
		if allowed.IsSet(i) {
			last = i
		}
	}
	var one unix.CPUSet
	one.Set(last)
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return false
	}
	for _, t := range threads { // threads that start later inherit the affinity
		if id, err := strconv.Atoi(t.Name()); err != nil || unix.SchedSetaffinity(id, &one) != nil {
			return false
		}
	}
	return true
}

// stop kills the process and waits until it has exited.
func (p *measuredProcess) stop() {
	p.cmd.Process.Kill()
	_ = p.cmd.Wait() // returns the error of a killed process
}

// logTail returns the last 500 bytes of the process's log.
func (p *measuredProcess) logTail() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-500):]))
}

// readStats waits for the statistics file and reads it.
func (p *measuredProcess) readStats() (Stats, error) {
	var st Stats
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		text, err := os.ReadFile(p.statsPath)
		if err == nil {
			return st, json.Unmarshal(text, &st)
		}
		if time.Now().After(deadline) {
			return st, fmt.Errorf("the process wrote no statistics: %w", err)
		}
	}
}

// processorTime returns the processor time that the process has used, or zero if it is not running.
func (p *measuredProcess) processorTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64) // the kernel writes numbers in these fields
	sys, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+sys) * time.Second / clockTicksPerSecond
}

// usage returns the process's resident memory in MB and the number of its open descriptors.
func (p *measuredProcess) usage() (mb float64, open int) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	if text, err := os.ReadFile(dir + "statm"); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseFloat(f[1], 64)
			mb = pages * float64(os.Getpagesize()) / (1 << 20)
		}
	}
	if l, err := os.ReadDir(dir + "fd"); err == nil {
		open = len(l)
	}
	return mb, open
}

// freeAddress returns a free address on loopback.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
