package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// versionCmd is "umberbank version".
type versionCmd struct{}

// Run prints the revision and the Go version of the build.
func (versionCmd) Run(env *environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build has no version information")
	}
	rev, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " with changes"
		}
	}
	_, err := fmt.Fprintf(env.stdout, "umberbank %s%s, %s\n", rev, dirty, info.GoVersion)
	return err
}
