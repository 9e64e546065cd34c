// Package stricttoml reads TOML files in which nothing may stand that is not known, and words their faults on one line.
package stricttoml

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is a fault of a file.
type Error struct {
	File   string
	Line   int // 0: not known, or not from the file
	Key    string
	Reason string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Reason
}

// Decode reads a text; file is its name in errors, which are all an *Error.
func Decode(file string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		first := &unknown.Errors[0]
		row, _ := first.Position()
		return &Error{file, row, strings.Join(first.Key(), "."), "unknown key"}
	case errors.As(err, &bad):
		row, _ := bad.Position()
		return &Error{file, row, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return &Error{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}
