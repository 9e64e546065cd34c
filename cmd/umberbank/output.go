package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
)

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// progress writes one line over and over where somebody looks, else nothing.
func progress(w io.Writer, name string) func(done, total time.Duration) {
	f, is := w.(*os.File)
	if !is || !isatty.IsTerminal(f.Fd()) {
		return nil
	}
	return func(done, total time.Duration) {
		fmt.Fprintf(f, "\r%s: %v of %v ", name, done.Round(time.Second), total)
		if done >= total {
			fmt.Fprint(f, "\r\033[K")
		}
	}
}
