package backendconn

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	// statusLineForm and fieldForm are the forms of RFC 9112, sections 4 and 5, for responses to calls. A reason
	// may be missing with the blank before it.
	statusLineForm = regexp.MustCompile(`^HTTP/1\.[0-9] ([1-5][0-9][0-9])( [\t -~\x80-\xff]*)?$`)
	fieldForm      = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\\t -~\\x80-\\xff]*)$")
)

// headOf returns the status and the fields of the head that begins data, read by the forms alone. ok is false
// unless data begins with a valid head.
func headOf(data string) (status string, fields http.Header, ok bool) {
	fields = make(http.Header)
	for first := true; ; first = false {
		line, rest, found := strings.Cut(data, "\n")
		if !found {
			return "", nil, false
		}
		data, line = rest, strings.TrimSuffix(line, "\r")
		switch {
		case first:
			m := matchBytes(statusLineForm, line)
			if m == nil || m[1] == "101" {
				return "", nil, false
			}
			status = m[1]
		case line == "":
			return status, fields, true
		default:
			m := matchBytes(fieldForm, line)
			if m == nil {
				return "", nil, false
			}
			name := textproto.CanonicalMIMEHeaderKey(m[1])
			fields[name] = append(fields[name], strings.Trim(m[2], " \t"))
		}
	}
}

// matchBytes matches a line byte by byte: a regular expression would decode it as UTF-8.
func matchBytes(form *regexp.Regexp, line string) []string {
	latin1 := make([]rune, 0, len(line))
	for _, b := range []byte(line) {
		latin1 = append(latin1, rune(b))
	}
	m := form.FindStringSubmatch(string(latin1))
	for i, s := range m {
		raw := make([]byte, 0, len(s))
		for _, r := range s {
			raw = append(raw, byte(r))
		}
		m[i] = string(raw)
	}
	return m
}

// Guards against heads that are read in another way than their server meant them: what is accepted has the
// form of a response, and its status and fields are those that were sent.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		okResponse("1", "body"),
		"HTTP/1.0 200\r\n\r\n", "HTTP/1.1 200 \n\n", "HTTP/1.1  200 OK\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 200 O\x00K\r\n\r\n",
		"HTTP/1.1 000 Oops\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 200OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: \xe9\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b", "HTTP/1.1 200 OK\r\nA: b\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cn := &conn{br: bufio.NewReaderSize(bytes.NewReader(data), bufferSize)}
		left := bufferSize
		resp, err := cn.readHead(&Request{Method: http.MethodGet}, &left)
		status, fields, valid := headOf(string(data))
		if err != nil {
			// The fields that frame the body have rules of their own.
			framed := len(fields["Content-Length"])+len(fields["Transfer-Encoding"])+len(fields["Trailer"]) > 0
			must.False(t, valid && !framed && len(data) < bufferSize)
			return
		}
		must.True(t, valid)
		must.Eq(t, status, resp.Status[:3])
		for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer", "Cache-Control"} {
			// http.ReadResponse interprets these.
			resp.Header.Del(name)
			fields.Del(name)
		}
		must.Eq(t, fields, resp.Header)
	})
}
