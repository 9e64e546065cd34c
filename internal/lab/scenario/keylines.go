package scenario

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

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
