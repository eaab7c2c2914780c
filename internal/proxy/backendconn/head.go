package backendconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/crocuscross/crocuscross/internal/httphead"
)

const versionPrefix = "HTTP/1."

// readHead reads one head, of at most left bytes, and subtracts its length from left.
//
// http.ReadResponse accepts heads that no server may send: it ignores fields with a blank in their names,
// such as "Content-Length : 4", and joins a line that begins with a blank to the line before it. The caller
// would receive another body than the one that the server sent. Each line of a head is therefore checked
// before the head is used.
func (cn *conn) readHead(r *Request, left *int) (*http.Response, error) {
	head, err := cn.peekHead(*left)
	if err != nil {
		return nil, err
	}
	*left -= head.next
	resp, err := http.ReadResponse(cn.br, &http.Request{Method: r.Method})
	if err == nil && len(head.connection) > 0 {
		// http.ReadResponse removes the field if it contains "close", and with it the names of other fields
		// that apply to this connection only.
		resp.Header["Connection"] = head.connection
	}
	return resp, err
}

// peekHead waits for a complete head of at most limit bytes. It consumes nothing.
func (cn *conn) peekHead(limit int) (*headScanner, error) {
	var head headScanner
	for {
		buffered, _ := cn.br.Peek(cn.br.Buffered())
		if err := head.advance(buffered); err != nil {
			return nil, err
		}
		switch {
		case head.complete && head.next <= limit:
			return &head, nil
		case head.complete, len(buffered) >= limit:
			return nil, errHeadTooLarge
		case len(buffered) == cn.br.Size():
			cn.growReadBuffer()
		}
		if _, err := cn.br.Peek(len(buffered) + 1); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}

// growReadBuffer enlarges the read buffer for a head that does not fit into it.
func (cn *conn) growReadBuffer() {
	buffered, _ := cn.br.Peek(cn.br.Buffered())
	src := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), cn.nc)
	cn.br = bufio.NewReaderSize(src, maxHeadBytes)
}

// headScanner checks the lines of a head while they arrive.
type headScanner struct {
	// next is the offset of the line that has not been checked yet, or the length of a complete head, and
	// searched the offset up to which there is no end of that line.
	next, searched int
	complete       bool
	// http10 is whether the version is HTTP/1.0.
	http10 bool
	// connection has the values of the Connection field.
	connection []string
}

// advance checks the lines that have arrived since the last call. head is what has arrived in all.
func (s *headScanner) advance(head []byte) error {
	for !s.complete {
		n := bytes.IndexByte(head[s.searched:], '\n')
		if n < 0 {
			s.searched = len(head)
			return nil
		}
		line := bytes.TrimSuffix(head[s.next:s.searched+n], []byte("\r"))
		first := s.next == 0
		s.searched += n + 1
		s.next = s.searched
		var err error
		switch {
		case first:
			err = checkStatusLine(line)
			s.http10 = bytes.HasPrefix(line, []byte(versionPrefix+"0"))
		case len(line) == 0:
			s.complete = true
		default:
			err = s.checkFieldLine(line)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkStatusLine returns an error unless a line has the form of a status line, with a valid status.
func checkStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	if !ok || len(rest) < len("1 200") || !isDigits(rest[:1]) || rest[1] != ' ' {
		return fmt.Errorf("malformed status line %.80q", line)
	}
	code, reason := rest[2:5], rest[5:]
	if !isDigits(code) || len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return fmt.Errorf("malformed status line %.80q", line)
	}
	status, _ := strconv.Atoi(string(code))
	return httphead.CheckStatus(status)
}

// checkFieldLine returns an error unless a line has the form of a header field. http.ReadResponse checks
// the values. It ignores a transfer encoding in HTTP/1.0, whose framing is faulty (RFC 9112, section 6.1).
func (s *headScanner) checkFieldLine(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return fmt.Errorf("malformed header field %.80q", line)
	}
	if s.http10 && strings.EqualFold(string(name), "Transfer-Encoding") {
		return errors.New("transfer encoding in a response of HTTP/1.0")
	}
	if strings.EqualFold(string(name), "Connection") {
		s.connection = append(s.connection, string(bytes.TrimSpace(value)))
	}
	return nil
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
