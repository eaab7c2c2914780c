// Package httphead checks the heads of HTTP responses more strictly than net/http, which accepts some that no
// server may send. Bytes with such a head are not a response: nothing that they state may be relied upon.
package httphead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error for a status that no response may have. 101 is one of them: the protocol is
// never switched, since no request asks for it.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("invalid status %03d", status)
	}
	return nil
}

// Check returns an error for a response with an invalid status, or with a field whose name is not a token: net/http
// accepts names with blanks. A line that begins with a blank can't be found, since net/http has joined it to the
// line before.
func Check(resp *http.Response) error {
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("invalid name %.80q of a header field", name)
		}
	}
	return nil
}
