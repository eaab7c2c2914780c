package settings

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// WriteDefaults writes a file with every field, its meaning, unit, default and
// bounds. Required fields hold example values; optional ones without a default
// are commented out.
func WriteDefaults(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("// Settings of a crocuscross daemon: JSON with comments.\n{\n")
	open := ""
	for i, f := range Fields {
		group, key := f.group()
		if group != open {
			closeGroup(&b, open)
			openGroup(&b, group)
			open = group
		} else if i > 0 {
			b.WriteString("\n")
		}
		writeField(&b, f, key, indent(group))
	}
	closeGroup(&b, open)
	b.WriteString("}\n")
	_, err := w.Write(b.Bytes())
	return err
}

func openGroup(b *bytes.Buffer, group string) {
	b.WriteString("\n")
	if group != "" {
		fmt.Fprintf(b, "\t%q: {\n", group)
	}
}

func closeGroup(b *bytes.Buffer, group string) {
	if group != "" {
		b.WriteString("\t},\n")
	}
}

func indent(group string) string {
	if group == "" {
		return "\t"
	}
	return "\t\t"
}

func writeField(b *bytes.Buffer, f Field, key, indent string) {
	fmt.Fprintf(b, "%s// %s\n%s// %s\n", indent, f.Doc, indent, f.facts())
	off := ""
	if f.Default == nil && !f.Required {
		off = "// "
	}
	fmt.Fprintf(b, "%s%s%q: %s,\n", indent, off, key, f.shownJSON())
}

// facts returns whether the field is required, its default, unit and bounds in
// one line.
func (f Field) facts() string {
	var parts []string
	switch {
	case f.Required:
		parts = append(parts, "Required")
	case f.Default != nil:
		parts = append(parts, "Default "+string(f.defaultJSON()))
	default:
		parts = append(parts, "Optional")
	}
	switch f.Kind {
	case KindAddress:
		parts = append(parts, "IP address and port")
	case KindURL:
		parts = append(parts, "URL")
	}
	if f.Unit != "" {
		parts = append(parts, "unit: "+f.Unit)
	}
	if bounds := f.Bounds(); bounds != "" {
		parts = append(parts, "bounds: "+bounds)
	}
	return strings.Join(parts, "; ") + "."
}

func (f Field) shownJSON() []byte {
	if f.Default != nil {
		return f.defaultJSON()
	}
	return bytes.ReplaceAll(toJSON(f.Example), []byte(`","`), []byte(`", "`))
}
