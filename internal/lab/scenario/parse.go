package scenario

import (
	"os"

	"umberbank/internal/stricttoml"
)

// Error is a fault of a file, on one line.
type Error = stricttoml.Error

// Read reads a file. Overrides are key=value in TOML's words, such as load.rate=200; they win over the file.
func Read(path string, overrides []string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, overrides)
}

// Parse reads a scenario, puts in what it leaves out, and checks it. The error is an *Error that names the first
// fault.
func Parse(file string, text []byte, overrides []string) (*Scenario, error) {
	s := defaults()
	if err := stricttoml.Decode(file, text, s); err != nil {
		return nil, err
	}
	lines := keyLines(text)
	if len(overrides) > 0 {
		var err error
		if s, err = applyOverrides(file, text, overrides); err != nil {
			return nil, err
		}
	}
	s.setDefaults()
	if f := s.validate(); f != nil {
		return nil, &Error{File: file, Line: lineOf(lines, f.key), Key: f.key, Reason: f.reason}
	}
	return s, nil
}
