// Package stricttoml decodes TOML files and rejects unknown keys. Each error is a single line with the file, the line number and
// the key, if they are known, and the reason.
package stricttoml

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error describes an error in a file.
type Error struct {
	File   string
	Line   int    // starting at 1; zero if the error has no known position in the file
	Key    string // with its tables, separated by dots; empty if the error is not about a single key
	Reason string
}

// Error returns "FILE:LINE: KEY: REASON", without the parts that are unknown.
func (e *Error) Error() string {
	text := e.File
	if e.Line > 0 {
		text += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	return text + ": " + e.Reason
}

// Decode decodes content. into must point to a struct with toml tags, and file is the file name used in errors. Every error is an
// *Error that describes the first fault found.
func Decode(file string, content []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := &unknownKeys.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Reason: "unknown key"}
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return &Error{File: file, Line: line, Key: strings.Join(invalid.Key(), "."), Reason: reason(invalid)}
	}
	return &Error{File: file, Reason: reason(err)}
}

// reason returns an error's text without the decoder's own prefix.
func reason(err error) string { return strings.TrimPrefix(err.Error(), "toml: ") }
