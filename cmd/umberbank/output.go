package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
)

// writeJSON writes a value to a file as indented JSON.
func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// progress returns a function that shows the progress of a run on one line of a terminal, or nil if w is not a terminal.
func progress(w io.Writer, name string) func(done, total time.Duration) {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return nil
	}
	return func(done, total time.Duration) {
		fmt.Fprintf(f, "\r%s: %v of %v ", name, done.Round(time.Second), total)
		if done >= total {
			fmt.Fprint(f, "\r\033[K")
		}
	}
}
