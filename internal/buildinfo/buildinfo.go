// Package buildinfo returns the version and commit from which the running program was built.
package buildinfo

import (
	"runtime"
	"runtime/debug"
)

// version and commit are set by the linker: -ldflags "-X .../internal/buildinfo.version=v1.2.3".
// For those that are empty, the values that the Go tool embeds in the binary are used.
var (
	version string
	commit  string
)

// unknown stands for a version or commit that is neither set by the linker nor embedded.
const unknown = "unknown"

// Info describes the build of a program.
type Info struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	// Modified is set if the working tree contained uncommitted changes.
	Modified bool `json:"modified"`
	// Go is the version of the Go toolchain.
	Go string `json:"go"`
}

// Get returns the description of the running program.
func Get() Info {
	info := Info{Version: version, Commit: commit, Go: runtime.Version()}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		build = &debug.BuildInfo{}
	}
	if info.Version == "" {
		info.Version = build.Main.Version
	}
	for _, s := range build.Settings {
		switch {
		case s.Key == "vcs.revision" && info.Commit == "":
			info.Commit = s.Value
		case s.Key == "vcs.modified":
			info.Modified = s.Value == "true"
		}
	}
	if info.Version == "" {
		info.Version = unknown
	}
	if info.Commit == "" {
		info.Commit = unknown
	}
	return info
}

// String returns the version and the first 12 characters of the commit, separated by "+", for
// statuses and logs.
func (i Info) String() string {
	const shortCommit = 12
	c := i.Commit
	if len(c) > shortCommit {
		c = c[:shortCommit]
	}
	return i.Version + "+" + c
}
