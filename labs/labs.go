// Package labs embeds the scenarios that are shipped with the program.
package labs

import "embed"

// Files contains the scenario files, all in its root directory.
//
//go:embed *.toml
var Files embed.FS

// Default is the file name of the scenario that is run if none is named.
const Default = "default.toml"
