// Package buildinfo provides the version of the programs.
package buildinfo

import "runtime/debug"

// Release is the version of the current release.
const Release = "0.1.0"

// Version returns the release and, if the build recorded it, the commit.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Release + "+" + setting.Value
		}
	}
	return Release
}
