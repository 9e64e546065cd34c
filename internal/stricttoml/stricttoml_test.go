package stricttoml

import (
	"errors"
	"testing"
)

func TestDecode(t *testing.T) {
	type table struct {
		Share float64 `toml:"share"`
	}
	type file struct {
		Name   string  `toml:"name"`
		Tables []table `toml:"table"`
	}
	for _, c := range []struct {
		name, content, want string
	}{
		{"valid", "name = \"a\"\n[[table]]\nshare = 0.5\n", ""},
		{"unknown key", "name = \"a\"\n[[table]]\nshape = 0.5\n", "f.toml:3: table.shape: unknown key"},
		{"wrong type", "name = 1\n", "f.toml:1: name: cannot decode TOML integer into struct field stricttoml.file.Name of type string"},
		{"bad syntax", "name = \n", "f.toml:1: unexpected character U+000A at start of value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var into file
			err := Decode("f.toml", []byte(c.content), &into)
			if c.want == "" {
				if err != nil || into.Name != "a" || len(into.Tables) != 1 || into.Tables[0].Share != 0.5 {
					t.Fatalf("%+v, %v", into, err)
				}
				return
			}
			var fault *Error
			if !errors.As(err, &fault) || err.Error() != c.want {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
}
