package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a field in the file.
type Kind uint8

// The kinds of field.
const (
	// KindName is a string without blanks.
	KindName Kind = iota + 1
	// KindAddress is an IP address and port that are not 0.
	KindAddress
	// KindAddresses is an array of KindAddress.
	KindAddresses
	// KindURL is an http or https URL.
	KindURL
	// KindDuration is a string such as "150ms".
	KindDuration
	// KindInt is a whole number.
	KindInt
	// KindFloat is a number.
	KindFloat
	// KindChoice is one of a few strings.
	KindChoice
)

// Field is everything that is fixed about one field of the file.
type Field struct {
	// Path names the field, such as "platform.url".
	Path string
	Kind Kind
	// Required fields have no default.
	Required bool
	// Unit of a number, for people.
	Unit string
	// Default is what holds where the file says nothing: a string, []string,
	// time.Duration, int64 or float64 as Kind demands. It is nil for a required
	// field and for one that may be left out.
	Default any
	// Min and Max are inclusive. They bound the value of a number or duration,
	// the length in bytes of a name and the number of addresses.
	Min, Max float64
	// Choices are the values of a KindChoice.
	Choices []string
	// Example is a value of a field without a default.
	Example any
	Doc     string
}

// Longest name and longest list of addresses.
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

func (f Field) required() Field {
	f.Required = true
	return f
}

func (f Field) optional() Field {
	f.Required = false
	return f
}

// Want tells what a right value looks like.
func (f Field) Want() string {
	switch f.Kind {
	case KindName:
		return fmt.Sprintf("use a string of %g to %g bytes without blanks", f.Min, f.Max)
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

// Bounds returns the bounds for people, empty if the kind says all.
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

// checkNumber returns what is wrong with a number, empty if it is within the
// bounds. The comparison is written so that NaN fails it.
func (f Field) checkNumber(v float64, shown string) string {
	switch {
	case v >= f.Min && v <= f.Max:
		return ""
	case v > f.Max:
		return shown + " is above the maximum"
	}
	return shown + " is below the minimum"
}

// checkText returns what is wrong with a string, empty if nothing is.
func (f Field) checkText(s string) string {
	switch f.Kind {
	case KindName:
		return f.checkName(s)
	case KindAddress, KindAddresses:
		return checkAddress(s)
	case KindURL:
		return checkURL(s)
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

func (f Field) checkName(s string) string {
	if len(s) < int(f.Min) || len(s) > int(f.Max) {
		return fmt.Sprintf("the name has %d bytes", len(s))
	}
	for _, c := range s {
		if c <= ' ' || c == 0x7f {
			return strconv.Quote(s) + " holds a blank or a control character"
		}
	}
	return ""
}

// checkAddress refuses host names, since a resolver would be one more thing
// that can fail, and the unspecified address, since others are told the
// address and could not use it.
func checkAddress(s string) string {
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

func checkURL(s string) string {
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
