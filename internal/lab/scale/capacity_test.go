package scale

import (
	"os"
	"strings"
	"testing"
)

const page = `# A page

| figure | at zero | a node more | unit |
| --- | --- | --- | --- |
| ` + "`a_bytes`" + ` | 1,000 | 0.5 | bytes |
| ` + "`b_cores`" + ` | -0.1 | 0.001 | cores |

| role | what | from | at 920 | bound | factor left | carried by |
| --- | --- | --- | --- | --- | --- | --- |
| node | bytes | ` + "`a_bytes`" + ` | 1,460 bytes | 13,000 | 8.9 | leases |
| leader | both | n × ` + "`a_bytes` + 2 × `b_cores`" + ` | 1,343,202 | - | - | leases |
| follower | cores | ` + "`b_cores`" + ` | 0.82 | 1 core | 1.22 | watches |
`

// What does not follow is named with its line and the right figure.
func TestCheckPage(t *testing.T) {
	if err := CheckPage([]byte(page)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"1,460 bytes", "1,480", "line 10: node, bytes: says 1,480, and its slopes give 1460"},
		{"| 0.5 |", "| 0.6 |", "line 10: node, bytes: says 1,460 bytes, and its slopes give 1552"},
		{"| 8.9 |", "| 9.9 |", "line 10: node, bytes: the factor left is said to be 9.9, and 13,000 of 1,460 bytes is 8.9"},
		{"1,343,202", "1,460", "line 11: leader, both: says 1,460, and its slopes give 1.343e+06"},
		{"n × ", "m × ", `line 11: leader, both: the factor "m" is no number`},
		{"at 920", "at many", `line 8: "at many" does not say for how many nodes`},
		{"| `b_cores` | 0.82", "| `c_cores` | 0.82", "line 12: follower, cores: there is no slope `c_cores`"},
		{"| 1.22 |", "| - |", "line 12: follower, cores: a bound and the factor left go together"},
		{"| 1 core |", "| much |", `line 12: follower, cores: "much", "1.22" are no numbers`},
		{"| 0.82 |", "| NaN |", `line 12: follower, cores: "NaN" is no number`},
		{"| -0.1 |", "| x |", "line 6: `b_cores`: \"x\", \"0.001\" are no numbers"},
		{"`b_cores` | -0.1", "`a_bytes` | -0.1", "line 6: a_bytes stands twice"},
		{"| role |", "| rule |", "there is no table of roles"},
	} {
		err := CheckPage([]byte(strings.Replace(page, c.old, c.new, 1)))
		if err == nil || err.Error() != c.want {
			t.Errorf("%q for %q: %v, want %s", c.new, c.old, err, c.want)
		}
	}
}

// The page of capacity follows from its own slopes.
func TestCapacityPage(t *testing.T) {
	text, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckPage(text); err != nil {
		t.Errorf("docs/CAPACITY.md: %v", err)
	}
}
