package settings

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// WriteDefaults writes a settings file with every field, its description, unit, default and bounds.
// Required fields have example values. Optional fields without a default are commented out.
func WriteDefaults(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("// Settings of a crocuscross daemon: JSON with comments.\n{\n")
	current := ""
	for i, f := range Fields {
		group, key := f.group()
		if group != current {
			closeGroup(&b, current)
			openGroup(&b, group)
			current = group
		} else if i > 0 {
			b.WriteString("\n")
		}
		writeField(&b, f, key, indent(group))
	}
	closeGroup(&b, current)
	b.WriteString("}\n")
	_, err := w.Write(b.Bytes())
	return err
}

// openGroup writes the beginning of a group, for the top level only an empty line.
func openGroup(b *bytes.Buffer, group string) {
	b.WriteString("\n")
	if group != "" {
		fmt.Fprintf(b, "\t%q: {\n", group)
	}
}

// closeGroup writes the end of a group, nothing for the top level.
func closeGroup(b *bytes.Buffer, group string) {
	if group != "" {
		b.WriteString("\t},\n")
	}
}

// indent returns the indentation of the fields in a group.
func indent(group string) string {
	if group == "" {
		return "\t"
	}
	return "\t\t"
}

// writeField writes a field with its description and constraints as comments.
func writeField(b *bytes.Buffer, f Field, key, indent string) {
	fmt.Fprintf(b, "%s// %s\n%s// %s\n", indent, f.Doc, indent, f.constraints())
	comment := ""
	if f.Default == nil && !f.Required {
		comment = "// "
	}
	fmt.Fprintf(b, "%s%s%q: %s,\n", indent, comment, key, f.exampleJSON())
}

// constraints returns one line that states whether the field is required, its default, its unit and
// its bounds.
func (f Field) constraints() string {
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

// exampleJSON returns the default, or the example of a field without a default, as JSON.
func (f Field) exampleJSON() []byte {
	if f.Default != nil {
		return f.defaultJSON()
	}
	return bytes.ReplaceAll(toJSON(f.Example), []byte(`","`), []byte(`", "`))
}
