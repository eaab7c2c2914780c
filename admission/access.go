package admission

// KeyState is what a daemon knows about the API key of a request.
type KeyState uint8

const (
	// KeyAbsent means that the request states no key.
	KeyAbsent KeyState = iota
	// KeyMalformed means that the request does not state exactly one well-formed key.
	KeyMalformed
	// KeyUnknown means that no account in force holds the key.
	KeyUnknown
	// KeyKnown means that an account in force holds the key.
	KeyKnown
)

// Access is the decision on whether a request may be served.
type Access uint8

const (
	// AccessGranted means that the request may be served.
	AccessGranted Access = iota
	// AccessDenied means that the request does not authenticate its sender.
	AccessDenied
	// AccessUndecided means that the daemon does not know enough to decide. The request must not be
	// served, and its sender should try again.
	AccessUndecided
)

// AccessRequest is what a daemon knows about a request to a route whose callers must authenticate.
type AccessRequest struct {
	Key KeyState
	// Public is whether the route needs no key.
	Public bool
	// Origin is whether the local backend server may have made the call. Such calls have no key;
	// the request that caused them has been authenticated.
	Origin Origin
	// Nested is whether the calls of the route are known to be made by services.
	Nested bool
	// Stale is whether a newer configuration than the one in force may exist.
	Stale bool
}

// Decide returns the decision. A key that only an older configuration holds is served as long as that
// configuration is in force. A key that only a newer one holds must not be denied by a daemon that
// may lack it, because its caller would give up.
func (r AccessRequest) Decide() Access {
	switch {
	case r.Public || r.Key == KeyKnown:
		return AccessGranted
	case r.Key == KeyMalformed:
		return AccessDenied
	case r.Key == KeyAbsent && (r.Origin == OriginMaybeRun || r.Nested):
		return AccessGranted
	case r.Key == KeyAbsent && r.Origin == OriginUnknown, r.Stale:
		return AccessUndecided
	}
	return AccessDenied
}
