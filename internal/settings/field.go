package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a field's value in the file.
type Kind uint8

// The kinds of fields.
const (
	// KindName is a string without spaces and control characters.
	KindName Kind = iota + 1
	// KindAddress is an IP address and port as a string. The address must not be unspecified and the
	// port must not be 0.
	KindAddress
	// KindAddresses is an array of values of KindAddress.
	KindAddresses
	// KindURL is an http or https URL.
	KindURL
	// KindDuration is a string such as "150ms".
	KindDuration
	// KindInt is an integer.
	KindInt
	// KindFloat is a number.
	KindFloat
	// KindChoice is one of the strings in Choices.
	KindChoice
)

// Field describes one field of the settings file.
type Field struct {
	// Path is the path of the field in the file, such as "platform.url".
	Path string
	Kind Kind
	// Required is set if the file must set the field. Required fields have no default.
	Required bool
	// Unit is the displayed unit of a number.
	Unit string
	// Default is the value if the file does not set the field: a string, []string, time.Duration,
	// int64 or float64, depending on Kind. It is nil for required fields and for optional fields
	// without a default.
	Default any
	// Min and Max are inclusive bounds of the value of a number or duration, of the length of a name
	// in bytes, and of the number of addresses.
	Min, Max float64
	// Choices are the allowed values of a field of KindChoice.
	Choices []string
	// Example is an example value of a field without a default.
	Example any
	// Doc is the description that WriteDefaults prints.
	Doc string
}

// Maximum length of a name and maximum number of addresses in a list.
const (
	maxNameBytes = 64
	maxAddresses = 64
)

func name(path, example, doc string) Field {
	return Field{Path: path, Kind: KindName, Required: true, Min: 1, Max: maxNameBytes, Example: example, Doc: doc}
}

func address(path, example, doc string) Field {
	return Field{Path: path, Kind: KindAddress, Required: true, Example: example, Doc: doc}
}

func addresses(path string, example []string, doc string) Field {
	return Field{Path: path, Kind: KindAddresses, Max: maxAddresses, Example: example, Doc: doc}
}

func httpURL(path, example, doc string) Field {
	return Field{Path: path, Kind: KindURL, Example: example, Doc: doc}
}

func duration(path string, def, low, high time.Duration, doc string) Field {
	return Field{Path: path, Kind: KindDuration, Unit: "duration", Default: def, Min: float64(low), Max: float64(high), Doc: doc}
}

func integer(path string, def, low, high int64, unit, doc string) Field {
	return Field{Path: path, Kind: KindInt, Unit: unit, Default: def, Min: float64(low), Max: float64(high), Doc: doc}
}

func ratio(path string, def float64, doc string) Field {
	return Field{Path: path, Kind: KindFloat, Unit: "share of 1", Default: def, Min: 0, Max: 1, Doc: doc}
}

func number(path string, def, low, high float64, unit, doc string) Field {
	return Field{Path: path, Kind: KindFloat, Unit: unit, Default: def, Min: low, Max: high, Doc: doc}
}

func choice(path string, choices []string, doc string) Field {
	return Field{Path: path, Kind: KindChoice, Default: choices[0], Choices: choices, Doc: doc}
}

// required returns a copy of f that is required.
func (f Field) required() Field {
	f.Required = true
	return f
}

// optional returns a copy of f that is not required.
func (f Field) optional() Field {
	f.Required = false
	return f
}

// Want returns a hint that describes a valid value.
func (f Field) Want() string {
	switch f.Kind {
	case KindName:
		return fmt.Sprintf("use a string of %g to %g bytes without spaces or control characters", f.Min, f.Max)
	case KindAddress:
		return `use an IP address and port, such as "10.1.2.3:7400"`
	case KindAddresses:
		return fmt.Sprintf(`use an array of at most %g addresses, such as ["10.1.2.3:7400"]`, f.Max)
	case KindURL:
		return `use an http or https URL, such as "http://10.1.2.3:7300"`
	case KindDuration:
		return fmt.Sprintf("use a duration from \"%s\" to \"%s\"", Duration(f.Min), Duration(f.Max))
	case KindInt:
		return fmt.Sprintf("use a whole number from %.0f to %.0f (%s)", f.Min, f.Max, f.Unit)
	case KindFloat:
		return fmt.Sprintf("use a number from %g to %g (%s)", f.Min, f.Max, f.Unit)
	case KindChoice:
		return "use one of " + strings.Join(quoteAll(f.Choices), ", ")
	}
	return ""
}

// Bounds returns the bounds as text for display, empty if the kind has none.
func (f Field) Bounds() string {
	switch f.Kind {
	case KindName:
		return fmt.Sprintf("%g to %g bytes", f.Min, f.Max)
	case KindAddresses:
		return fmt.Sprintf("at most %g addresses", f.Max)
	case KindDuration:
		return fmt.Sprintf("%s to %s", Duration(f.Min), Duration(f.Max))
	case KindInt:
		return fmt.Sprintf("%.0f to %.0f", f.Min, f.Max)
	case KindFloat:
		return fmt.Sprintf("%g to %g", f.Min, f.Max)
	case KindChoice:
		return strings.Join(f.Choices, " | ")
	}
	return ""
}

// numberProblem returns the problem with a number, empty if it is within the bounds. text is the
// number as it is shown in the problem. The comparison is written such that NaN is out of bounds.
func (f Field) numberProblem(v float64, text string) string {
	switch {
	case v >= f.Min && v <= f.Max:
		return ""
	case v > f.Max:
		return text + " is above the maximum"
	}
	return text + " is below the minimum"
}

// textProblem returns the problem with a string, empty if it is valid.
func (f Field) textProblem(s string) string {
	switch f.Kind {
	case KindName:
		return f.nameProblem(s)
	case KindAddress, KindAddresses:
		return addressProblem(s)
	case KindURL:
		return urlProblem(s)
	case KindChoice:
		for _, c := range f.Choices {
			if s == c {
				return ""
			}
		}
		return strconv.Quote(s) + " is not known"
	}
	return ""
}

// nameProblem returns the problem with a value of KindName, empty if it is valid.
func (f Field) nameProblem(s string) string {
	if len(s) < int(f.Min) || len(s) > int(f.Max) {
		return fmt.Sprintf("the name has %d bytes", len(s))
	}
	for _, c := range s {
		if c <= ' ' || c == 0x7f {
			return strconv.Quote(s) + " contains a space or a control character"
		}
	}
	return ""
}

// addressProblem returns the problem with an IP address and port, empty if it is valid. Host names
// are invalid because the daemon would depend on a resolver, which can fail. The unspecified
// address is invalid because other daemons receive the address and could not connect to it.
func addressProblem(s string) string {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return strconv.Quote(s) + " is not an IP address and port"
	case a.Addr().IsUnspecified():
		return strconv.Quote(s) + " names no host"
	case a.Port() == 0:
		return strconv.Quote(s) + " names no port"
	}
	return ""
}

// urlProblem returns the problem with an http or https URL, empty if it is valid.
func urlProblem(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return strconv.Quote(s) + " is not an http or https URL"
	}
	return ""
}

func quoteAll(list []string) []string {
	quoted := make([]string, len(list))
	for i, s := range list {
		quoted[i] = strconv.Quote(s)
	}
	return quoted
}
