// Package labs holds the scenarios that come with the program.
package labs

import "embed"

// Files are the scenarios, by file name.
//
//go:embed *.toml
var Files embed.FS

// Default is the scenario that is played when none is named.
const Default = "default.toml"
