package scale

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Two tables of the capacity page are checked. They are recognized by their first two headings. The table of slopes begins with
//
//	| figure | at zero | a node more | ...
//
// The table of roles gives figures that are computed from the slopes for the number of nodes in the heading of its fourth column:
//
//	| role | what | from | at 920 | bound | factor left | ...
//
// A cell of the column "from" is a sum of figures in backquotes. A figure has a factor before it unless that is 1, as in
// 2 × `a` + `b`. The factor n is the number of nodes. A dash stands for a missing bound or factor left.

// maxRelativeError is the largest relative difference between a figure of the page and its computed value. The page gives figures
// with about three digits.
const maxRelativeError = 0.01

// CheckPage checks that the figures of a capacity page follow from its own slopes. The error names the first line that does not.
func CheckPage(text []byte) error {
	c := capacityChecker{slopes: map[string]pageSlope{}}
	for i, line := range strings.Split(string(text), "\n") {
		cells, isRow := cellsOf(line)
		if !isRow {
			c.table = ""
			continue
		}
		if err := c.checkRow(cells); err != nil {
			return fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	if c.roles == 0 {
		return errors.New("there is no table of roles")
	}
	return nil
}

// The tables that are checked, by their first heading.
const (
	slopeTable = "figure"
	roleTable  = "role"
)

// pageSlope is a slope of the page.
type pageSlope struct{ atZero, perNode float64 }

// at returns the figure for a number of nodes.
func (s pageSlope) at(nodes float64) float64 { return s.atZero + s.perNode*nodes }

// capacityChecker reads the rows of a page in their order.
type capacityChecker struct {
	table  string               // first heading of the current table; empty if the table is not checked
	slopes map[string]pageSlope // slopes of the rows so far, by figure
	nodes  float64              // number of nodes of the current table of roles
	roles  int                  // number of rows of roles so far
}

// checkRow reads a heading, or checks a row of the current table.
func (c *capacityChecker) checkRow(cells []string) error {
	switch {
	case strings.Trim(strings.Join(cells, ""), "-: ") == "":
		return nil // the line of dashes below a heading
	case cells[0] == slopeTable && len(cells) > 2 && cells[1] == "at zero":
		c.table = slopeTable
		return nil
	case cells[0] == roleTable && len(cells) > 5:
		c.table = roleTable
		return c.readNodes(cells[3])
	}
	switch c.table {
	case slopeTable:
		return c.readSlope(cells)
	case roleTable:
		return c.checkRole(cells)
	}
	return nil
}

// readNodes reads the number of nodes of a table of roles from its heading.
func (c *capacityChecker) readNodes(heading string) error {
	text, found := strings.CutPrefix(heading, "at ")
	nodes, err := strconv.ParseFloat(text, 64)
	if !found || err != nil || nodes < 1 {
		return fmt.Errorf("%q does not give the number of nodes", heading)
	}
	c.nodes = nodes
	return nil
}

// readSlope reads a row of the table of slopes.
func (c *capacityChecker) readSlope(cells []string) error {
	if len(cells) < 3 {
		return errors.New("a row of slopes needs the cells figure, at zero, and a node more")
	}
	atZero, err := number(cells[1])
	perNode, err2 := number(cells[2])
	if err := errors.Join(err, err2); err != nil {
		return fmt.Errorf("%s: %q, %q are not numbers", cells[0], cells[1], cells[2])
	}
	name := strings.Trim(cells[0], "`")
	if _, exists := c.slopes[name]; exists {
		return fmt.Errorf("%s is given twice", name)
	}
	c.slopes[name] = pageSlope{atZero, perNode}
	return nil
}

// checkRole checks a row of the table of roles.
func (c *capacityChecker) checkRole(cells []string) error {
	if len(cells) < 6 {
		return errors.New("a row of roles needs the cells role, what, from, at, bound, and factor left")
	}
	c.roles++
	name := cells[0] + ", " + cells[1]
	sum, err := c.sum(name, cells[2])
	if err != nil {
		return err
	}
	figure, err := number(cells[3])
	switch {
	case err != nil:
		return fmt.Errorf("%s: %q is not a number", name, cells[3])
	case differs(figure, sum):
		return fmt.Errorf("%s: is %s, and the slopes give %.4g", name, cells[3], sum)
	case (cells[4] == "-") != (cells[5] == "-"):
		return fmt.Errorf("%s: a bound needs a factor left, and a factor left needs a bound", name)
	case cells[4] == "-":
		return nil
	}
	bound, err := number(cells[4])
	factorLeft, err2 := number(cells[5])
	switch {
	case err != nil || err2 != nil:
		return fmt.Errorf("%s: %q, %q are not numbers", name, cells[4], cells[5])
	case differs(factorLeft, bound/figure):
		return fmt.Errorf("%s: the factor left is %s, and %s divided by %s is %.3g", name, cells[5], cells[4], cells[3], bound/figure)
	}
	return nil
}

// sum computes the value of a "from" cell for the table's number of nodes.
func (c *capacityChecker) sum(name, from string) (float64, error) {
	sum := 0.0
	for term := range strings.SplitSeq(from, "+") {
		factor, key, found := strings.Cut(strings.TrimSpace(term), "×")
		if !found {
			factor, key = "1", factor
		}
		factor, key = strings.TrimSpace(factor), strings.TrimSpace(key)
		multiplier := c.nodes
		if factor != "n" {
			var err error
			if multiplier, err = number(factor); err != nil {
				return 0, fmt.Errorf("%s: the factor %q is not a number", name, factor)
			}
		}
		slope, known := c.slopes[strings.Trim(key, "`")]
		if !known {
			return 0, fmt.Errorf("%s: there is no slope %s", name, key)
		}
		sum += multiplier * slope.at(c.nodes)
	}
	return sum, nil
}

// cellsOf returns the cells of a table's row, or false for any other line.
func cellsOf(line string) ([]string, bool) {
	line = strings.TrimSpace(line)
	if len(line) < 2 || line[0] != '|' || line[len(line)-1] != '|' {
		return nil, false
	}
	cells := strings.Split(line[1:len(line)-1], "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells, true
}

// number parses a number of the page. It may have commas as thousands separators. A unit after the number is ignored.
func number(text string) (float64, error) {
	text, _, _ = strings.Cut(text, " ")
	v, err := strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = errors.New("not a finite number")
	}
	return v, err
}

// differs reports whether a figure differs from the computed value by more than rounding. It returns true for NaN.
func differs(figure, computed float64) bool {
	return !(math.Abs(figure-computed) <= maxRelativeError*math.Abs(computed))
}
