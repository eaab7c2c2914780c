// Package jsonc parses JSON with comments and keeps the position of every value, so that all
// mistakes in a file can be reported at once, each with line, column and field.
package jsonc

import (
	"bytes"
	"os"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

const (
	// MaxFileBytes is the size limit of a file, so that a wrong path does not exhaust the memory.
	MaxFileBytes = 4 << 20
	// maxDepth is the maximum nesting depth. The hujson parser is recursive; without a limit, a
	// file that consists of brackets would overflow its stack.
	maxDepth = 64
)

// Document is a parsed file.
type Document struct {
	// Name identifies the file in problems.
	Name string
	// Root is the top-level value.
	Root *hujson.Value
	// raw is the content of the file, from which line and column of an offset are computed.
	raw []byte
}

// ReadFile reads and parses a file of at most MaxFileBytes. If the file could be read but not
// parsed, the error is a Problems.
func ReadFile(path string) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	if info.Size() > MaxFileBytes {
		return nil, errors.Newf("%s: has %d bytes; use a file of at most %d bytes", path, info.Size(), MaxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	return Parse(path, raw)
}

// Parse parses raw. The name identifies the file in problems. The error is a Problems with one
// element, because the content that follows a syntax error cannot be checked.
func Parse(name string, raw []byte) (*Document, error) {
	d := &Document{Name: name, raw: raw}
	switch {
	case !utf8.Valid(raw):
		return nil, Problems{d.problemAt(firstInvalidUTF8(raw), "", "the file is not UTF-8", "save it as UTF-8")}
	case nestedDeeperThan(raw, maxDepth):
		return nil, Problems{d.problemAt(0, "", "the file is nested too deeply", "use at most "+strconv.Itoa(maxDepth)+" levels")}
	}
	root, err := hujson.Parse(raw)
	if err != nil {
		return nil, Problems{d.syntaxProblem(err)}
	}
	d.Root = &root
	return d, nil
}

// Standard returns a value as standard JSON, without comments, trailing commas and whitespace.
func Standard(v *hujson.Value) []byte {
	c := v.Clone()
	c.Minimize()
	return c.Pack()
}

// Problem returns a problem at the position of a value. The field is the path of the value, text
// states the mistake and want the correction.
func (d *Document) Problem(v *hujson.Value, field, text, want string) Problem {
	return d.problemAt(v.StartOffset, field, text, want)
}

// problemAt returns a problem at a byte offset of the file.
func (d *Document) problemAt(offset int, field, text, want string) Problem {
	line, column := d.position(offset)
	return Problem{File: d.Name, Line: line, Column: column, Field: field, Text: text, Want: want}
}

// position returns the line and column of a byte offset, both counted from 1. Columns count
// characters, as in editors.
func (d *Document) position(offset int) (line, column int) {
	offset = min(max(offset, 0), len(d.raw))
	before := d.raw[:offset]
	line = 1 + bytes.Count(before, []byte("\n"))
	start := 1 + bytes.LastIndexByte(before, '\n')
	return line, 1 + utf8.RuneCount(before[start:])
}

// syntaxError matches the errors of the hujson parser, which contain the position only as text.
var syntaxError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxProblem converts an error of the hujson parser. The position is line 1, column 1 if the
// error contains none.
func (d *Document) syntaxProblem(err error) Problem {
	const want = "write JSON; comments and trailing commas are allowed"
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		return Problem{File: d.Name, Line: 1, Column: 1, Text: strings.TrimPrefix(err.Error(), "hujson: "), Want: want}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return d.problemAt(d.offset(line, column), "", m[3], want)
}

// offset returns the byte offset of a position as the hujson parser reports it, with a column that
// counts bytes.
func (d *Document) offset(line, column int) int {
	offset := 0
	for range line - 1 {
		offset += 1 + bytes.IndexByte(d.raw[offset:], '\n')
	}
	return offset + column - 1
}

// firstInvalidUTF8 returns the offset of the first byte that is not valid UTF-8, or len(raw).
func firstInvalidUTF8(raw []byte) int {
	for i := 0; i < len(raw); {
		r, n := utf8.DecodeRune(raw[i:])
		if r == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
	return len(raw)
}

// nestedDeeperThan reports whether brackets are nested deeper than limit. It counts the brackets in
// strings and comments as well, so it may reject a file that the parser would accept, and closing
// brackets in strings and comments lower the depth that it counts.
func nestedDeeperThan(raw []byte, limit int) bool {
	depth := 0
	for _, c := range raw {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth = max(0, depth-1)
		}
		if depth > limit {
			return true
		}
	}
	return false
}
