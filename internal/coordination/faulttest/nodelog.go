package faulttest

import (
	"bufio"
	"os"
	"regexp"
	"strconv"
	"time"

	"umberbank/internal/coordination/eventlog"
)

// nodeLogLine matches the lines that nodes log about versions of their settings. The groups are: 1 the kind of event, 2 the
// incarnation, 3 the longest time between renewals in ms, 4 the version, 5 its hash, 6 "serves", 7 the monotonic time in ns.
var nodeLogLine = regexp.MustCompile(`agreed: (?:(runs|could run|in touch|out of touch)(?: by start (\d+)(?:, renewed within (\d+) ms,)? with)? version (\d+) (\S+)|(serves)) at (\d+)`)

// readNodeLogs adds the events in the logs of nodes. The reading of a log ends without an error at a line that is too long for a
// bufio.Scanner.
func (r *record) readNodeLogs(nodes []*siteProcess) error {
	for _, p := range nodes {
		if err := r.readNodeLog(p); err != nil {
			return err
		}
	}
	return nil
}

func (r *record) readNodeLog(p *siteProcess) error {
	f, err := os.Open(p.LogPath)
	if err != nil {
		return err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		m := nodeLogLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		r.events = append(r.events, eventlog.Event{
			At: time.Duration(parseDigits(m[7])), Process: p.name, Unit: p.name, Kind: eventlog.Kind(m[1] + m[6]), Version: m[4], Reason: m[5],
			Token: parseDigits(m[2]), MaxRenewalGap: time.Duration(parseDigits(m[3])) * time.Millisecond,
		})
	}
	return nil
}

// parseDigits parses digits that nodeLogLine has captured. It returns 0 for an empty string.
func parseDigits(digits string) int64 {
	n, _ := strconv.ParseInt(digits, 10, 64)
	return n
}
