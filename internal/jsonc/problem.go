package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as "platform.url" or
	// "contacts[2]"; empty for a mistake of the file as a whole.
	Field string `json:"field,omitempty"`
	Text  string `json:"text"`
	// Want tells what would be right.
	Want string `json:"want"`
}

// Error returns "file:line:column: field: text; want".
func (p Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Text)
	if p.Want != "" {
		b.WriteString("; " + p.Want)
	}
	return b.String()
}

// Problems is all that is wrong with a file, as one error.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in the order of the file, and nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ps
}

// maxEdits is how far a misspelt name may be from the one suggested.
const maxEdits = 3

// Suggest returns the candidate closest to a misspelt name, if one is close.
// Of several equally close ones it takes the first.
func Suggest(name string, candidates []string) (string, bool) {
	best, bestDistance := "", maxEdits+1
	for _, c := range candidates {
		if len(c)-len(name) > maxEdits || len(name)-len(c) > maxEdits {
			continue
		}
		// A short name matches nearly all others within maxEdits, so the
		// distance must also stay below half the name.
		d := distance(strings.ToLower(name), strings.ToLower(c))
		if d < bestDistance && 2*d < max(len(name), len(c)) {
			best, bestDistance = c, d
		}
	}
	return best, best != ""
}

// distance is the number of edits between two names: inserting, deleting or
// replacing a byte, or swapping two neighbours.
func distance(a, b string) int {
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}

func cost(x, y byte) int {
	if x == y {
		return 0
	}
	return 1
}
