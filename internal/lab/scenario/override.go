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

// applyOverrides merges what the command line sets into the file.
func applyOverrides(file string, text []byte, overrides []string) (*Scenario, error) {
	k := koanf.New(".")
	if err := k.Load(rawbytes.Provider(text), koanftoml.Parser()); err != nil {
		return nil, &Error{File: file, Reason: err.Error()}
	}
	for _, o := range overrides {
		key, value, ok := strings.Cut(o, "=")
		var parsed struct{ V any }
		if err := toml.Unmarshal([]byte("V = "+value), &parsed); err != nil {
			parsed.V = value // a bare word is text
		}
		if !ok || key == "" {
			return nil, &Error{File: "--set " + o, Reason: "is no key=value"}
		}
		if err := k.Load(confmap.Provider(map[string]any{key: parsed.V}, "."), nil); err != nil {
			return nil, &Error{File: "--set " + o, Reason: err.Error()}
		}
		merged, err := k.Marshal(koanftoml.Parser())
		if err != nil {
			return nil, &Error{File: "--set " + o, Reason: err.Error()}
		}
		if err := stricttoml.Decode("--set "+o, merged, defaults()); err != nil {
			var e *Error
			if errors.As(err, &e) {
				e.Line = 0 // of the merged text, which nobody sees
			}
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
