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

// keySeparator separates the parts of an override's key.
const keySeparator = "."

// applyOverrides returns the scenario of a file with overrides applied.
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

// applyOverride sets one key, and checks that the result is still a scenario, so that an error names the override.
func applyOverride(k *koanf.Koanf, override string) error {
	source := "--set " + override
	key, text, hasValue := strings.Cut(override, "=")
	if !hasValue || key == "" {
		return &Error{File: source, Reason: "is no key=value"}
	}
	if err := k.Load(confmap.Provider(map[string]any{key: parseValue(text)}, keySeparator), nil); err != nil {
		return &Error{File: source, Reason: err.Error()}
	}
	merged, err := k.Marshal(koanftoml.Parser())
	if err != nil {
		return &Error{File: source, Reason: err.Error()}
	}
	err = stricttoml.Decode(source, merged, defaults())
	var fault *Error
	if errors.As(err, &fault) {
		fault.Line = 0 // it is a line of the merged text, which nobody sees
	}
	return err
}

// parseValue parses a TOML value. Anything else is a string without its quotes.
func parseValue(text string) any {
	var parsed struct {
		Value any `toml:"value"`
	}
	if err := toml.Unmarshal([]byte("value = "+text), &parsed); err != nil {
		return text
	}
	return parsed.Value
}
