package command

import "strings"

// Example formats a command's examples for its --help.
func Example(lines ...string) string {
	return "Example:\n  " + strings.Join(lines, "\n  ") + "\n"
}
