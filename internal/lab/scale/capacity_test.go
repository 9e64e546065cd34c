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

// A figure that does not follow from the slopes is reported with its line and the computed value.
func TestCheckPage(t *testing.T) {
	if err := CheckPage([]byte(page)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"1,460 bytes", "1,480", "line 10: node, bytes: is 1,480, and the slopes give 1460"},
		{"| 0.5 |", "| 0.6 |", "line 10: node, bytes: is 1,460 bytes, and the slopes give 1552"},
		{"| 8.9 |", "| 9.9 |", "line 10: node, bytes: the factor left is 9.9, and 13,000 divided by 1,460 bytes is 8.9"},
		{"1,343,202", "1,460", "line 11: leader, both: is 1,460, and the slopes give 1.343e+06"},
		{"n × ", "m × ", `line 11: leader, both: the factor "m" is not a number`},
		{"at 920", "at many", `line 8: "at many" does not give the number of nodes`},
		{"| `b_cores` | 0.82", "| `c_cores` | 0.82", "line 12: follower, cores: there is no slope `c_cores`"},
		{"| 1.22 |", "| - |", "line 12: follower, cores: a bound needs a factor left, and a factor left needs a bound"},
		{"| 1 core |", "| much |", `line 12: follower, cores: "much", "1.22" are not numbers`},
		{"| 0.82 |", "| NaN |", `line 12: follower, cores: "NaN" is not a number`},
		{"| -0.1 |", "| x |", "line 6: `b_cores`: \"x\", \"0.001\" are not numbers"},
		{"`b_cores` | -0.1", "`a_bytes` | -0.1", "line 6: a_bytes is given twice"},
		{"| role |", "| rule |", "there is no table of roles"},
	} {
		err := CheckPage([]byte(strings.Replace(page, c.old, c.new, 1)))
		if err == nil || err.Error() != c.want {
			t.Errorf("%q for %q: %v, want %s", c.new, c.old, err, c.want)
		}
	}
}

// The figures of docs/CAPACITY.md follow from the slopes on the same page.
func TestCapacityPage(t *testing.T) {
	text, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckPage(text); err != nil {
		t.Errorf("docs/CAPACITY.md: %v", err)
	}
}
