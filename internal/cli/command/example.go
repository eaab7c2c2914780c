package command

import "strings"

// Example formats example command lines for the --help of a command.
func Example(lines ...string) string {
	return "Example:\n  " + strings.Join(lines, "\n  ") + "\n"
}
