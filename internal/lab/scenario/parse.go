package scenario

import (
	"os"

	"umberbank/internal/stricttoml"
)

// Error describes an error in a file on one line.
type Error = stricttoml.Error

// Read reads a scenario from a file. See Parse.
func Read(path string, overrides []string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, content, overrides)
}

// Parse parses a scenario, sets defaults and validates it. Overrides are KEY=VALUE with a TOML value, such as load.rate=200,
// and take precedence over the content. Errors are of type *Error and describe only the first fault. Their File is the file
// argument, or the override if that cannot be decoded.
func Parse(file string, content []byte, overrides []string) (*Scenario, error) {
	s := defaults()
	if err := stricttoml.Decode(file, content, s); err != nil {
		return nil, err
	}
	if len(overrides) > 0 {
		var err error
		if s, err = applyOverrides(file, content, overrides); err != nil {
			return nil, err
		}
	}
	s.setDefaults()
	if v := s.validate(); v != nil {
		return nil, &Error{File: file, Line: lineOf(keyLines(content), v.key), Key: v.key, Reason: v.reason}
	}
	return s, nil
}
