// Package versioner reports the version of the programs.
package versioner

import "runtime/debug"

// Version is the version that the programs report.
const Version = "0.1.0"

// Describe returns the version, followed by the revision if it is known.
func Describe() string {
	if revision := Revision(); revision != "" {
		return Version + " " + revision
	}
	return Version
}

// Revision returns the commit that the program was built from, with "+" appended
// if there were uncommitted changes, or "" if the commit is not known.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, changed := "", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = "+"
		}
	}
	if revision == "" {
		return ""
	}
	return revision + changed
}
