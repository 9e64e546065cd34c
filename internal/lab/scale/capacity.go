package scale

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The page of capacity has two tables that are checked, known by their first two headings. One gives slopes:
//
//	| figure | at zero | a node more | ...
//
// and one what follows from them, with how, for a number of nodes that stands in the heading of its fourth column:
//
//	| role | what | from | at 920 | bound | factor left | ...
//
// A "from" is a sum of figures in backquotes, each with a factor before it if it is not 1: 2 × `a` + `b`. The factor n is
// the number of nodes. A bound or a factor that there is none of is a dash.

// offMost is how far a figure of the page may be from what it follows from, as a share: figures are given with three digits or so.
const offMost = 0.01

// CheckPage says what on a page of capacity does not follow from its own slopes, with its line; nil: all does.
func CheckPage(text []byte) error {
	type line struct{ atZero, perNode float64 }
	slopes := map[string]line{}
	nodes, roles := 0.0, 0
	table := ""
	for i, l := range strings.Split(string(text), "\n") {
		fault := func(format string, args ...any) error {
			return fmt.Errorf("line %d: %s", i+1, fmt.Sprintf(format, args...))
		}
		cells, is := cellsOf(l)
		if !is {
			table = ""
			continue
		}
		switch {
		case strings.Trim(strings.Join(cells, ""), "-: ") == "":
			continue // the rule under a heading
		case cells[0] == "figure" && len(cells) > 2 && cells[1] == "at zero":
			table = cells[0]
			continue
		case cells[0] == "role" && len(cells) > 5:
			text, found := strings.CutPrefix(cells[3], "at ")
			n, err := strconv.ParseFloat(text, 64)
			if !found || err != nil || n < 1 {
				return fault("%q does not say for how many nodes", cells[3])
			}
			table, nodes = cells[0], n
			continue
		}
		switch table {
		case "figure":
			if len(cells) < 3 {
				return fault("a slope wants a figure, at zero, and a node more")
			}
			atZero, err := number(cells[1])
			perNode, err2 := number(cells[2])
			if err := errors.Join(err, err2); err != nil {
				return fault("%s: %q, %q are no numbers", cells[0], cells[1], cells[2])
			}
			name := strings.Trim(cells[0], "`")
			if _, twice := slopes[name]; twice {
				return fault("%s stands twice", name)
			}
			slopes[name] = line{atZero, perNode}
		case "role":
			if len(cells) < 6 {
				return fault("a role wants what, from, at, bound, and factor left")
			}
			roles++
			name := cells[0] + ", " + cells[1]
			sum := 0.0
			for term := range strings.SplitSeq(cells[2], "+") {
				factor, key, found := strings.Cut(strings.TrimSpace(term), "×")
				if !found {
					factor, key = "1", factor
				}
				by := nodes
				if factor = strings.TrimSpace(factor); factor != "n" {
					var err error
					if by, err = number(factor); err != nil {
						return fault("%s: the factor %q is no number", name, factor)
					}
				}
				s, known := slopes[strings.Trim(strings.TrimSpace(key), "`")]
				if !known {
					return fault("%s: there is no slope %s", name, strings.TrimSpace(key))
				}
				sum += by * (s.atZero + s.perNode*nodes)
			}
			at, err := number(cells[3])
			switch {
			case err != nil:
				return fault("%s: %q is no number", name, cells[3])
			case off(at, sum):
				return fault("%s: says %s, and its slopes give %.4g", name, cells[3], sum)
			}
			if (cells[4] == "-") != (cells[5] == "-") {
				return fault("%s: a bound and the factor left go together", name)
			}
			if cells[4] == "-" {
				continue
			}
			bound, err := number(cells[4])
			left, err2 := number(cells[5])
			switch {
			case err != nil || err2 != nil:
				return fault("%s: %q, %q are no numbers", name, cells[4], cells[5])
			case off(left, bound/at):
				return fault("%s: the factor left is said to be %s, and %s of %s is %.3g", name, cells[5], cells[4], cells[3], bound/at)
			}
		}
	}
	if roles == 0 {
		return errors.New("there is no table of roles")
	}
	return nil
}

// cellsOf are the cells of a table's line.
func cellsOf(l string) ([]string, bool) {
	l = strings.TrimSpace(l)
	if len(l) < 2 || l[0] != '|' || l[len(l)-1] != '|' {
		return nil, false
	}
	cells := strings.Split(l[1:len(l)-1], "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells, true
}

// number reads a number of a page: with commas between thousands, and a unit after it that is not looked at.
func number(text string) (float64, error) {
	text, _, _ = strings.Cut(text, " ")
	v, err := strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = errors.New("no number")
	}
	return v, err
}

// off says that a figure is further from another than rounding takes it.
func off(says, is float64) bool { return !(math.Abs(says-is) <= offMost*math.Abs(is)) }
