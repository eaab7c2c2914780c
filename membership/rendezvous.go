package membership

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the weight of a host for a seed in rendezvous hashing (highest random
// weight). Daemons whose views contain the same members select the same one, that with the
// highest weight.
func Rendezvous(host, seed string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(seed)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}
