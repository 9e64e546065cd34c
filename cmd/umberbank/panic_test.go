package main

import (
	"io"
	"testing"
)

// panickingWriter panics with its text.
type panickingWriter string

func (w panickingWriter) Write([]byte) (int, error) { panic(string(w)) }

// A panic of a command ends the program as one, and not with exit code 0.
func TestPanicIsNotSuccess(t *testing.T) {
	defer func() {
		if reason := recover(); reason != "broken" {
			t.Errorf("recovered %v, want the panic of the command", reason)
		}
	}()
	t.Errorf("got exit code %d", run(t.Context(), []string{"version"}, panickingWriter("broken"), io.Discard))
}
