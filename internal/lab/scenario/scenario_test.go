package scenario

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// minimalScenario has only the required keys.
const minimalScenario = `nodes = 1
[[tier]]
name = "web"
servers = 3
[[tier.kind]]
cores = 2
[[tier.kind]]
cores = 4
[[class]]
name = "read"
work = ["10ms", "20ms"]
aim = "1s"
deadline = "2s"
[load]
rate = 10
`

// An error in a file is reported on one line with file, line, key and reason.
func TestParseErrors(t *testing.T) {
	if _, err := Parse("x.toml", []byte(minimalScenario), nil); err != nil {
		t.Fatal(err)
	}
	fault := func(text string) string { return minimalScenario + "[[fault]]\n" + text }
	for _, c := range []struct{ name, text, want string }{
		{"negative cores", strings.Replace(minimalScenario, "cores = 4", "cores = -4", 1), "x.toml:8: tier[0].kind[1].cores: -4 is not between"},
		{"duration without a unit", strings.Replace(minimalScenario, "aim = \"1s\"", "aim = \"1\"", 1), "x.toml:12: class.aim: "},
		{"deadline before the objective", strings.Replace(minimalScenario, "aim = \"1s\"", "aim = \"3s\"", 1), "x.toml:13: class[0].deadline: 2s is below the aim, 3s"},
		{"unknown key", strings.Replace(minimalScenario, "rate = 10", "rait = 10", 1), "x.toml:15: load.rait: unknown key"},
		{"wrong type", strings.Replace(minimalScenario, "rate = 10", "rate = \"ten\"", 1), "x.toml:15: load.rate: "},
		{"reversed range", strings.Replace(minimalScenario, `["10ms", "20ms"]`, `["30ms", "20ms"]`, 1), "x.toml:11: class[0].work: 30ms to 20ms is not a range"},
		{"range of one value", strings.Replace(minimalScenario, `["10ms", "20ms"]`, `["30ms"]`, 1), "x.toml:11: class[0].work: needs two values"},
		{"missing section", strings.Replace(minimalScenario, "[load]\nrate = 10", "", 1), "x.toml: load.rate: 0 is not between"},
		{"syntax error", minimalScenario + "[load\n", "x.toml:16: "},
		{"unknown fault", fault("kind = \"flood\""), "x.toml:17: fault[0].kind: \"flood\" is not one of [burst"},
		{"missing factor", fault("kind = \"slow\"\nat = \"1s\""), "x.toml:16: fault[0].factor: 0 is not above 1"},
		{"unknown server", fault("kind = \"crash\"\nnames = [\"web-3\"]"), "x.toml:18: fault[0].names: no \"web-3\" among the servers"},
		{"fault after the run", fault("kind = \"kill\"\nat = \"30s\""), "x.toml:18: fault[0].at: 30s is not within the run of 20s"},
		{"partition without a zone", fault("kind = \"cut\""), "x.toml:16: fault[0].zone: missing"},
		{"unknown class", minimalScenario + "[expect.class_served]\nwrite = 0.5\n", "x.toml:17: expect.class_served.write: no such class"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(c.text), nil)
			var e *Error
			if !errors.As(err, &e) || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got  %v\nwant %s", err, c.want)
			}
		})
	}
}

// Overrides take precedence over the file. Invalid overrides are rejected.
func TestOverrides(t *testing.T) {
	s, err := Parse("x.toml", []byte(minimalScenario), []string{"load.rate=25", "limits.slack=\"1s\"", "clients.backoff=300ms"})
	if err != nil || s.Load.Rate != 25 || s.Limits.Slack.Std().Seconds() != 1 || s.Clients.Backoff.Std().Milliseconds() != 300 {
		t.Errorf("got %+v, %v; want a rate of 25, a slack of 1s and a backoff of 300ms", s, err)
	}
	for _, o := range []string{"load.rait=1", "load.rate=many", "load.rate", "nodes=0"} {
		if _, err := Parse("x.toml", []byte(minimalScenario), []string{o}); err == nil {
			t.Errorf("--set %s was accepted", o)
		}
	}
}

// Any text is parsed, or rejected with an error of one line.
func TestArbitraryText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(minimalScenario)).Draw(t, "at")
		junk := rapid.SampledFrom([]string{"[", "]", "=", "\"", "-1", "\n", "[[", "1e999", "nan", "x = 1\n", "\x00"}).Draw(t, "junk")
		_, err := Parse("x.toml", []byte(minimalScenario[:at]+junk+minimalScenario[at:]), nil)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("the error has more than one line: %q", err)
		}
	})
}

// A seed always gives the same site, and machine types are assigned to servers by weight.
func TestNewSite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := Parse("x.toml", []byte(strings.Replace(minimalScenario, "servers = 3", "servers = 40", 1)), nil)
		if err != nil {
			t.Fatal(err)
		}
		s.Tiers[0].MachineTypes[0].Weight = rapid.Float64Range(0.05, 20).Draw(t, "weight")
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := NewSite(s, seed), NewSite(s, seed)
		first := 0
		for i := range a.Servers {
			if a.Servers[i] != b.Servers[i] {
				t.Fatalf("server %d differs", i)
			}
			if a.Servers[i].MachineType == &s.Tiers[0].MachineTypes[0] {
				first++
			}
		}
		want := 40 * s.Tiers[0].MachineTypes[0].Weight / (s.Tiers[0].MachineTypes[0].Weight + 1)
		if d := float64(first) - want; d > 1 || d < -1 {
			t.Fatalf("%d servers of the first type, want about %.1f", first, want)
		}
	})
}
