package scenario

import (
	"errors"
	"strings"

	koanftoml "github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/pelletier/go-toml/v2"

	"umberbank/internal/stricttoml"
)

// keySeparator separates the parts of a key.
const keySeparator = "."

// applyOverrides decodes the scenario of a file with overrides applied.
func applyOverrides(file string, content []byte, overrides []string) (*Scenario, error) {
	k := koanf.New(keySeparator)
	if err := k.Load(rawbytes.Provider(content), koanftoml.Parser()); err != nil {
		return nil, &Error{File: file, Reason: err.Error()}
	}
	for _, o := range overrides {
		if err := applyOverride(k, o); err != nil {
			return nil, err
		}
	}
	merged, err := k.Marshal(koanftoml.Parser())
	if err != nil {
		return nil, &Error{File: file, Reason: err.Error()}
	}
	s := defaults()
	return s, stricttoml.Decode(file, merged, s)
}

// applyOverride sets one key. It decodes the result at once, so that an error names the override that caused it.
func applyOverride(k *koanf.Koanf, override string) error {
	source := "--set " + override
	key, text, hasValue := strings.Cut(override, "=")
	if !hasValue || key == "" {
		return &Error{File: source, Reason: "is not of the form key=value"}
	}
	if err := k.Load(confmap.Provider(map[string]any{key: parseValue(text)}, keySeparator), nil); err != nil {
		return &Error{File: source, Reason: err.Error()}
	}
	merged, err := k.Marshal(koanftoml.Parser())
	if err != nil {
		return &Error{File: source, Reason: err.Error()}
	}
	err = stricttoml.Decode(source, merged, defaults())
	var decodeError *Error
	if errors.As(err, &decodeError) {
		decodeError.Line = 0 // it refers to the merged text, which the user does not see
	}
	return err
}

// parseValue parses a TOML value. Text that is not a TOML value is taken as a string, so that its quotes may be omitted.
func parseValue(text string) any {
	var parsed struct {
		Value any `toml:"value"`
	}
	if err := toml.Unmarshal([]byte("value = "+text), &parsed); err != nil {
		return text
	}
	return parsed.Value
}
