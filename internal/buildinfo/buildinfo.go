// Package buildinfo tells which build of the program this is.
package buildinfo

import (
	"runtime"
	"runtime/debug"
)

// Set by the linker: -ldflags "-X .../internal/buildinfo.version=v1.2.3".
// Without them the values that the Go tool stamps into the binary are used.
var (
	version string
	commit  string
)

const unknown = "unknown"

// Info describes a build.
type Info struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	// Modified is whether the work tree had changes that the commit lacks.
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// Get returns the build's description.
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

// String returns version and commit in one word, for statuses and logs.
func (i Info) String() string {
	const shortCommit = 12
	c := i.Commit
	if len(c) > shortCommit {
		c = c[:shortCommit]
	}
	return i.Version + "+" + c
}
