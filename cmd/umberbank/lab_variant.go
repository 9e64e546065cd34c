package main

import (
	"fmt"
	"strings"

	"umberbank/internal/lab/scenario"
)

// variant is one way of playing: a scenario, on a clock, with a node's command.
type variant struct {
	description string // as on the command line
	scenario    *scenario.Scenario
	virtual     bool
	node        []string // nil: this program's own
}

// parseVariant parses a description of words: a file, keys of the scenario with values, clock=virtual or clock=real, and
// node=COMMAND with commas between the command's parts.
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
			return nil, fmt.Errorf("%q: clock is virtual or real", word)
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
		return nil, fmt.Errorf("%q: a node's command is of no use on the virtual clock", description)
	}
	return v, nil
}

// name returns the description, or what an empty one stands for.
func (v *variant) name() string {
	if v.description == "" {
		return "the default scenario"
	}
	return v.description
}
