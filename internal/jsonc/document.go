// Package jsonc reads JSON with comments and keeps the place of every value, so
// that a mistake in a file is told with line, column and field, and all
// mistakes are told at once.
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
	// MaxFileBytes bounds a file, so that a wrong path does not fill the memory.
	MaxFileBytes = 4 << 20
	// maxDepth bounds the nesting. The parser recurses, and a file of brackets
	// alone would otherwise exhaust its stack.
	maxDepth = 64
)

// Document is a parsed file.
type Document struct {
	// Name is shown in problems.
	Name string
	Root *hujson.Value
	raw  []byte
}

// ReadFile reads and parses a file.
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

// Parse parses raw. The error of a syntax mistake is a Problems with one
// element: what follows the mistake cannot be judged.
func Parse(name string, raw []byte) (*Document, error) {
	d := &Document{Name: name, raw: raw}
	switch {
	case !utf8.Valid(raw):
		return nil, Problems{d.at(firstInvalid(raw), "", "the file is not UTF-8", "save it as UTF-8")}
	case deeperThan(raw, maxDepth):
		return nil, Problems{d.at(0, "", "the file is nested too deeply", "use at most "+strconv.Itoa(maxDepth)+" levels")}
	}
	root, err := hujson.Parse(raw)
	if err != nil {
		return nil, Problems{d.syntaxProblem(err)}
	}
	d.Root = &root
	return d, nil
}

// Standard returns a value as standard JSON, without comments.
func Standard(v *hujson.Value) []byte {
	c := v.Clone()
	c.Minimize()
	return c.Pack()
}

// Problem returns a problem at a value. The field is its path in the file, want
// tells what would be right.
func (d *Document) Problem(v *hujson.Value, field, text, want string) Problem {
	return d.at(v.StartOffset, field, text, want)
}

func (d *Document) at(offset int, field, text, want string) Problem {
	line, column := d.position(offset)
	return Problem{File: d.Name, Line: line, Column: column, Field: field, Text: text, Want: want}
}

// position returns line and column from 1; columns count characters, as editors
// do.
func (d *Document) position(offset int) (line, column int) {
	offset = min(max(offset, 0), len(d.raw))
	before := d.raw[:offset]
	line = 1 + bytes.Count(before, []byte("\n"))
	start := 1 + bytes.LastIndexByte(before, '\n')
	return line, 1 + utf8.RuneCount(before[start:])
}

// syntaxError matches the parser's errors, which hold the place as text only.
var syntaxError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

func (d *Document) syntaxProblem(err error) Problem {
	const want = "write JSON; comments and trailing commas are allowed"
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		return Problem{File: d.Name, Line: 1, Column: 1, Text: strings.TrimPrefix(err.Error(), "hujson: "), Want: want}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return d.at(d.offset(line, column), "", m[3], want)
}

// offset undoes the parser's count of lines and of bytes in a line.
func (d *Document) offset(line, column int) int {
	offset := 0
	for range line - 1 {
		offset += 1 + bytes.IndexByte(d.raw[offset:], '\n')
	}
	return offset + column - 1
}

func firstInvalid(raw []byte) int {
	for i := 0; i < len(raw); {
		r, n := utf8.DecodeRune(raw[i:])
		if r == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
	return len(raw)
}

// deeperThan counts brackets without regard to strings and comments, so it may
// refuse a strange file that a parser would take, but never lets a deep one by.
func deeperThan(raw []byte, limit int) bool {
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
