// Command umberbank-sim runs Balancers for the simulator. It reads batches of events from standard input and
// writes one reply for each batch to standard output. It exits with code 0 at the end of the input, and with
// code 1 if a message is invalid or a read or write fails.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"umberbank/balancer"
	"umberbank/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "umberbank-sim: %v\n", err)
		os.Exit(1)
	}
}

// run handles batches until the end of the input. A reply is written only once its batch is complete.
func run(input io.Reader, output io.Writer) error {
	decoder := simwire.NewDecoder(input)
	h := newHost(output)
	for {
		m, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(m); err != nil {
			return err
		}
	}
}

// host holds the Balancers of the running instances.
type host struct {
	balancers map[int]*balancer.Balancer
	now       time.Duration // clock time of the current batch
	encoder   *simwire.Encoder
	reply     *bytes.Buffer // to the current batch
	output    io.Writer
}

func newHost(output io.Writer) *host {
	reply := &bytes.Buffer{}
	return &host{
		balancers: map[int]*balancer.Balancer{},
		encoder:   simwire.NewEncoder(reply),
		reply:     reply,
		output:    output,
	}
}

// handle handles one message.
func (h *host) handle(m simwire.Message) error {
	switch m.Kind {
	case simwire.BatchStart:
		h.now = m.Now
	case simwire.InstanceInit:
		return h.addInstance(m)
	case simwire.InstanceKill:
		delete(h.balancers, m.Instance)
	case simwire.Event:
		return h.handleEvent(m)
	case simwire.Ignored:
	case simwire.BatchEnd:
		return h.flush()
	}
	return nil
}

// addInstance creates the Balancer of an instance. It replaces an earlier instance of the same number.
func (h *host) addInstance(m simwire.Message) error {
	b, err := balancer.New(m.Settings, m.Seed)
	if err != nil {
		return fmt.Errorf("hello for instance %d: %w", m.Instance, err)
	}
	h.balancers[m.Instance] = b
	return nil
}

// handleEvent passes an event to its instance and adds the resulting actions to the reply.
func (h *host) handleEvent(m simwire.Message) error {
	b := h.balancers[m.Instance]
	if b == nil {
		return fmt.Errorf("event %T for instance %d before its hello", m.Event, m.Instance)
	}
	for _, action := range b.Handle(h.now, m.Event) {
		h.encoder.Action(m.Instance, action)
	}
	return nil
}

// flush writes the reply to the batch.
func (h *host) flush() error {
	if err := h.encoder.Flush(); err != nil {
		return err
	}
	_, err := h.reply.WriteTo(h.output)
	return err
}
