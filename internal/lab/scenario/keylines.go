package scenario

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line number of every key of a TOML text, up to the first syntax error. Keys have the form
// "tier[0].kind[1].cores".
func keyLines(content []byte) map[string]int {
	lines := map[string]int{}
	tableCounts := map[string]int{} // number of elements seen so far in each array of tables
	parser := unstable.Parser{}
	parser.Reset(content)
	table := "" // key of the table that contains the following keys
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := keyPath(&parser, expression)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = tableKey(path, expression.Kind == unstable.ArrayTable, tableCounts)
			lines[table] = line
		case unstable.KeyValue:
			lines[joinKey(table, strings.Join(path, keySeparator))] = line
		}
	}
	return lines
}

// keyPath returns the parts of an expression's key and its line.
func keyPath(parser *unstable.Parser, expression *unstable.Node) (path []string, line int) {
	for it := expression.Key(); it.Next(); {
		part := it.Node()
		path = append(path, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return path, line
}

// tableKey returns the key of a table, with an index for each array of tables on its path. If the table is a new element of an
// array, tableKey counts it.
func tableKey(path []string, isElement bool, counts map[string]int) string {
	key := ""
	for i, part := range path {
		key = joinKey(key, part)
		count, isArray := counts[key]
		switch {
		case isElement && i == len(path)-1:
			counts[key] = count + 1
			key = fmt.Sprintf("%s[%d]", key, count)
		case isArray:
			key = fmt.Sprintf("%s[%d]", key, count-1)
		}
	}
	return key
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + keySeparator + key
}

// lineOf returns the line of a key, or of the nearest enclosing table with a known line. It returns zero if there is none.
func lineOf(lines map[string]int, key string) int {
	for key != "" {
		if line, known := lines[key]; known {
			return line
		}
		i := strings.LastIndex(key, keySeparator)
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}
