package backendconn

import (
	"fmt"
	"net/http"
)

// maxStatus is the highest status that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// checkStatus returns an error for a status that http.ReadResponse accepts and that no response to a call
// may have. Bytes with such a status are no response, and what follows them is none either. The protocol
// is never switched, since no call asks for it.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return malformedError(fmt.Errorf("invalid status %03d", status))
	}
	return nil
}
