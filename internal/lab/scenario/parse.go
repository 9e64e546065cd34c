package scenario

import (
	"errors"
	"fmt"
	"os"
	"strings"

	koanftoml "github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

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

// keyLines finds the line of every key, as "tier[0].kind[1].cores". A text that does not parse has none.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	tables := map[string]int{} // how many of an array there were
	p := unstable.Parser{}
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		row := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			path = append(path, string(n.Data))
			if row == 0 {
				row = p.Shape(n.Raw).Start.Line
			}
		}
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = ""
			for i, part := range path {
				prefix = join(prefix, part)
				if n, many := tables[prefix]; e.Kind == unstable.ArrayTable && i == len(path)-1 {
					tables[prefix] = n + 1
					prefix = fmt.Sprintf("%s[%d]", prefix, n)
				} else if many {
					prefix = fmt.Sprintf("%s[%d]", prefix, n-1)
				}
			}
			lines[prefix] = row
		case unstable.KeyValue:
			lines[join(prefix, strings.Join(path, "."))] = row
		}
	}
	return lines
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// lineOf is the line of a key, or of the nearest table around it.
func lineOf(lines map[string]int, key string) int {
	for key != "" {
		if n, ok := lines[key]; ok {
			return n
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}
