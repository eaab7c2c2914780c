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
	// Field is the path of the field, such as "platform.url" or "contacts[2]". It is empty for a
	// mistake that concerns the file as a whole.
	Field string `json:"field,omitempty"`
	// Text states the mistake, such as "is a number".
	Text string `json:"text"`
	// Want states the correction, such as "use a string". It may be empty.
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

// Problems is an error that contains all mistakes in a file.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the problems by line and column and returns them as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ps
}

// maxEdits is the maximum edit distance between a misspelled name and the suggested name.
const maxEdits = 3

// Suggest returns the candidate with the smallest edit distance to a misspelled name, ignoring case,
// and the first of several such candidates. It returns false if no candidate is close enough.
func Suggest(name string, candidates []string) (string, bool) {
	best, bestDistance := "", maxEdits+1
	for _, c := range candidates {
		if len(c)-len(name) > maxEdits || len(name)-len(c) > maxEdits {
			continue
		}
		// A short name is within maxEdits of nearly every other name, so the distance must also be
		// less than half the length of the longer name.
		d := distance(strings.ToLower(name), strings.ToLower(c))
		if d < bestDistance && 2*d < max(len(name), len(c)) {
			best, bestDistance = c, d
		}
	}
	return best, best != ""
}

// distance returns the edit distance between two names. An edit inserts, deletes or replaces a byte,
// or swaps two adjacent bytes.
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
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+substitutionCost(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}

// substitutionCost returns the number of edits that replace byte x by y: 0 if they are equal,
// otherwise 1.
func substitutionCost(x, y byte) int {
	if x == y {
		return 0
	}
	return 1
}
