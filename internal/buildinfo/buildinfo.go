// Package buildinfo tells the version of the programs.
package buildinfo

import "runtime/debug"

// Release is the release that the next build belongs to.
const Release = "0.1.0"

// Version returns the release and, where the build recorded it, the commit.
func Version() string {
	information, available := debug.ReadBuildInfo()
	if !available {
		return Release
	}
	for _, setting := range information.Settings {
		if setting.Key == "vcs.revision" {
			return Release + "+" + setting.Value
		}
	}
	return Release
}
