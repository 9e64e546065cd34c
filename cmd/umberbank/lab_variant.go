package main

import (
	"fmt"
	"strings"

	"umberbank/internal/lab/scenario"
)

// variant is one side of a comparison: a scenario, the clock on which it runs, and the command of the nodes.
type variant struct {
	description string // as given on the command line
	scenario    *scenario.Scenario
	virtual     bool
	node        []string // nil for the node command of this program
}

// parseVariant parses the description of a variant. It consists of words: a scenario file, KEY=VALUE for keys of the scenario,
// clock=virtual or clock=real, and node=COMMAND, with commas between the arguments of the command.
func (c *labCompareCmd) parseVariant(description string) (*variant, error) {
	v := &variant{description: description, virtual: c.Virtual}
	flags, file := scenarioFlags{Duration: c.Duration}, ""
	for _, word := range strings.Fields(description) {
		key, value, isSetting := strings.Cut(word, "=")
		switch {
		case !isSetting:
			file = word
		case key == "clock" && (value == "virtual" || value == "real"):
			v.virtual = value == "virtual"
		case key == "clock":
			return nil, fmt.Errorf("%q: clock must be virtual or real", word)
		case key == "node":
			v.node = strings.Split(value, ",")
		default:
			flags.Set = append(flags.Set, word)
		}
	}
	var err error
	if v.scenario, err = flags.load(file); err != nil {
		return nil, err
	}
	if v.virtual && v.node != nil {
		return nil, fmt.Errorf("%q: node= cannot be combined with the virtual clock", description)
	}
	return v, nil
}

// name returns the description, or a text for the empty one.
func (v *variant) name() string {
	if v.description == "" {
		return "the default scenario"
	}
	return v.description
}
