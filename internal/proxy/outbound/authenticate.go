package outbound

import (
	"net/http"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/snapshot"
)

// Errors are shared between requests: creating one for each request would record a stack trace each
// time, at a rate that anybody can choose. None of them names the key.
var (
	errUnauthenticated = errkind.New(errkind.Unauthenticated, "the request needs a valid API key in the header Authorization: Bearer KEY")
	errUndecided       = errkind.New(errkind.NotReady, "the daemon may lack the configuration that contains the API key")
)

// authenticate returns the account of a call to a route of the document, nil if it has none. A call
// without an account goes to a public route, is made by the local backend server, or belongs to a
// document without accounts.
func (h *Handler) authenticate(r *http.Request, doc *snapshot.Document, route *snapshot.DocumentRoute, origin admission.Origin) (*snapshot.Contract, error) {
	if !doc.HasAccounts() {
		return nil, nil
	}
	account, state := findAccount(r.Header, doc)
	access := admission.AccessRequest{
		Key: state, Public: route.Public, Origin: origin, Nested: h.opts.NestedRoutes.Contains(route.Name),
	}
	decision := access.Decide()
	if decision == admission.AccessDenied {
		access.Stale = h.opts.ConfigMayBeStale()
		decision = access.Decide()
	}
	switch decision {
	case admission.AccessDenied:
		return nil, errUnauthenticated
	case admission.AccessUndecided:
		return nil, errUndecided
	}
	return account, nil
}

// findAccount returns the account of the document that holds the key in a request header, nil if
// there is none.
func findAccount(header http.Header, doc *snapshot.Document) (*snapshot.Contract, admission.KeyState) {
	digest, credential := apikey.FromHeader(header)
	switch credential {
	case apikey.Absent:
		return nil, admission.KeyAbsent
	case apikey.Malformed:
		return nil, admission.KeyMalformed
	}
	account := doc.Account(digest)
	if account == nil {
		return nil, admission.KeyUnknown
	}
	return account, admission.KeyKnown
}

// namesNoCustomer reports whether a request names no customer with a contract, neither by the header
// for that nor by an API key.
func (h *Handler) namesNoCustomer(header http.Header, snap *snapshot.Snapshot) bool {
	if dialect.Get(header, h.opts.Dialect.Customer) != "" {
		return false
	}
	if !snap.HasCustomerKeys() {
		return true
	}
	digest, credential := apikey.FromHeader(header)
	return credential != apikey.Present || snap.KeyContract(digest) == nil
}

// customerContract returns the contract of a call without a document's terms. An API key identifies
// the customer; without one the customer's name in the header does, if the customer has no API
// keys. authenticated is set if a key was used.
func (h *Handler) customerContract(header http.Header, snap *snapshot.Snapshot) (contract *snapshot.Contract, authenticated bool, err error) {
	if digest, credential := apikey.FromHeader(header); credential == apikey.Present {
		if contract := snap.KeyContract(digest); contract != nil {
			return contract, true, nil
		}
	}
	customer := dialect.Get(header, h.opts.Dialect.Customer)
	contract = snap.Contract(customer)
	switch {
	case contract == nil:
		return nil, false, errkind.Newf(errkind.UnknownCustomer, "no contract for customer %q", customer)
	case !snap.NeedsKey(customer):
		return contract, false, nil
	case h.opts.ConfigMayBeStale():
		return nil, false, errUndecided
	}
	return nil, false, errUnauthenticated
}
