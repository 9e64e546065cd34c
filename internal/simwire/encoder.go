package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"umberbank/balancer"
)

// writeBufferSize is the size of the buffer for replies, in bytes.
const writeBufferSize = 1 << 16

// Encoder writes the replies to batches.
type Encoder struct {
	writer   *bufio.Writer
	instance int // instance of the last action in the reply, or noInstance
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{writer: bufio.NewWriterSize(w, writeBufferSize), instance: noInstance}
}

// Action adds one action of an instance to the reply. Flush returns the first write error.
func (e *Encoder) Action(instance int, action balancer.Action) {
	if instance != e.instance {
		fmt.Fprintf(e.writer, "instance\t%d\n", instance)
		e.instance = instance
	}
	switch a := action.(type) {
	case balancer.Send:
		fmt.Fprintf(e.writer, "forward\t%s\t%s\t%s\n", a.ID, a.Endpoint, milliseconds(a.Timeout))
	case balancer.Cancel:
		fmt.Fprintf(e.writer, "retract\t%s\t%d\n", a.ID, a.Attempt)
	case balancer.Reject:
		fmt.Fprintf(e.writer, "turn_away\t%s\t%s\n", a.ID, milliseconds(a.RetryAfter))
	case balancer.Fail:
		fmt.Fprintf(e.writer, "report_failure\t%s\n", a.ID)
	case balancer.SetTimer:
		fmt.Fprintf(e.writer, "remind\t%s\t%s\n", milliseconds(a.At), a.Token)
	case balancer.Subscribe:
		fmt.Fprint(e.writer, "subscribe\t1\n")
	}
}

// Flush ends the reply and sends it.
func (e *Encoder) Flush() error {
	e.instance = noInstance
	if _, err := e.writer.WriteString("yield\n"); err != nil {
		return err
	}
	return e.writer.Flush()
}

// milliseconds returns a duration as the shortest decimal number of milliseconds.
func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
