package clientconn

import (
	"testing"
	"time"
)

// As long as more bytes are missing than can be in transit, the client is still sending.
func TestSendProgress(t *testing.T) {
	t.Parallel()
	start := time.Now()
	const step = markIntervalBytes
	const steps = maxInTransitBytes/step + 4
	for name, c := range map[string]struct {
		length int64
		until  int // the read, counted from 1, up to which the client is known to have been sending; zero if none
	}{
		"in transit at once":  {maxInTransitBytes, 0},
		"longer":              {maxInTransitBytes + 3*step + 1, 3},
		"chunked":             {-1, 3},
		"longer than is read": {10 * maxInTransitBytes, steps},
	} {
		progress := sendProgress{length: c.length}
		for i := 1; i <= steps; i++ {
			progress.add(step, start.Add(time.Duration(i)*time.Second))
		}
		var want time.Time
		if c.until > 0 {
			want = start.Add(time.Duration(c.until) * time.Second)
		}
		if !progress.until.Equal(want) {
			t.Errorf("%s: sending until %v, want %v", name, progress.until.Sub(start), want.Sub(start))
		}
		if len(progress.marks) > steps {
			t.Errorf("%s: %d marks", name, len(progress.marks))
		}
	}
}
