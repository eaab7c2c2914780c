package snapshot

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

func keyDigests(keys ...string) (digests [][]byte) {
	for _, k := range keys {
		d := apikey.DigestOf(k)
		digests = append(digests, d[:])
	}
	return digests
}

func accountsDocument(version uint64, accounts ...*configpb.DocumentAccount) *configpb.Document {
	d := testDocument()
	d.Version, d.Accounts = version, accounts
	return d
}

// Each key leads to its account. An account whose limits have not changed stays the same object,
// because the daemons divide the limits of a new one again.
func TestDocumentAccounts(t *testing.T) {
	priority := uint32(0)
	first := accountsDocument(4,
		&configpb.DocumentAccount{Name: "a", KeyDigests: keyDigests("a1", "a2"), RatePerSecond: 10, Burst: 5},
		&configpb.DocumentAccount{Name: "b", KeyDigests: keyDigests("b1"), Priority: &priority})
	s := Build(nil, documentState(9, first), backends())
	d := s.Document()
	must.True(t, d.HasAccounts())
	must.Eq(t, "a", d.Account(apikey.DigestOf("a2")).Customer)
	must.True(t, d.Account(apikey.DigestOf("b1")).HasPriority)
	must.Nil(t, d.Account(apikey.DigestOf("c1")))
	must.Eq(t, 1, len(s.LimitedContracts()))

	second := accountsDocument(5,
		&configpb.DocumentAccount{Name: "a", KeyDigests: keyDigests("a2"), RatePerSecond: 10, Burst: 5},
		&configpb.DocumentAccount{Name: "b", KeyDigests: keyDigests("b1"), RatePerSecond: 100})
	n := Build(s, documentState(10, second), backends())
	must.Nil(t, n.Document().Account(apikey.DigestOf("a1")))
	must.True(t, n.LimitedContracts()["a"] == s.LimitedContracts()["a"])
	must.Eq(t, 10.0, n.LimitedContracts()["b"].Burst)

	none := Build(n, documentState(11, accountsDocument(6)), backends())
	must.False(t, none.Document().HasAccounts())
	must.MapEmpty(t, none.LimitedContracts())
}

// Guards against a limit that is not found, that is the one of a contract which an account of the
// document replaces, or that is kept from an older configuration.
func TestRateLimit(t *testing.T) {
	var none *Snapshot
	must.Eq(t, 0, none.RateLimit("a"))
	st := publish(fold.Empty(), contract("a", 7), contract("c", 3))
	s := Build(nil, st, backends())
	must.Eq(t, 7, s.RateLimit("a"))
	must.Eq(t, 0, s.RateLimit("b"))
	s = Build(s, publish(st, contract("a", 14)), backends())
	must.Eq(t, 14, s.RateLimit("a"))

	first := accountsDocument(4, &configpb.DocumentAccount{Name: "a", RatePerSecond: 10}, &configpb.DocumentAccount{Name: "b"})
	s = Build(nil, documentState(9, first), backends())
	must.Eq(t, 10, s.RateLimit("a"))
	must.Eq(t, 0, s.RateLimit("b"))
	s = Build(s, documentState(10, accountsDocument(5, &configpb.DocumentAccount{Name: "a", RatePerSecond: 20})), backends())
	must.Eq(t, 20, s.RateLimit("a"))
}

// The key of a customer leads to its contract until it is revoked, whatever happens to the contract.
func TestCustomerKeys(t *testing.T) {
	digest := apikey.DigestOf("k1")
	key := &configpb.Resource{Kind: &configpb.Resource_ApiKey{ApiKey: &configpb.ApiKey{Id: "k", Customer: "c", Digest: digest[:]}}}
	st := publish(fold.Empty(), contract("c", 1), contract("d", 1), key)
	s := Build(nil, st, backends())
	must.True(t, s.NeedsKey("c"))
	must.False(t, s.NeedsKey("d"))
	must.True(t, s.KeyContract(digest) == s.Contract("c"))
	st = publish(st, contract("c", 2))
	s = Build(s, st, backends())
	must.Eq(t, 2.0, s.KeyContract(digest).Rate)
	must.True(t, Build(s, st, backends("one")).KeyContract(digest) != nil)
	s = Build(s, change(st, nil, []*configpb.Resource{key}), backends())
	must.Nil(t, s.KeyContract(digest))
	must.False(t, s.NeedsKey("c"))
}

// manyAccounts returns a document with n accounts of one key each.
func manyAccounts(version uint64, n int) *configpb.Document {
	d := accountsDocument(version)
	for i := range n {
		d.Accounts = append(d.Accounts, &configpb.DocumentAccount{
			Name: fmt.Sprint("account-", i), KeyDigests: keyDigests(fmt.Sprint("key-", i)), RatePerSecond: 100,
		})
	}
	return d
}

// Each request looks up one key.
func TestAccountLookupDoesNotAllocate(t *testing.T) {
	d := Build(nil, documentState(9, manyAccounts(4, 10_000)), backends()).Document()
	must.Zero(t, testing.AllocsPerRun(100, func() { d.Account(apikey.DigestOf("key-5000")) }))
}

func BenchmarkAccountLookup(b *testing.B) {
	d := Build(nil, documentState(9, manyAccounts(4, 10_000)), backends()).Document()
	b.ReportAllocs()
	for b.Loop() {
		d.Account(apikey.DigestOf("key-5000"))
	}
}

func BenchmarkBuildWithAccounts(b *testing.B) {
	prev := Build(nil, documentState(9, manyAccounts(4, 10_000)), backends())
	next := documentState(10, manyAccounts(5, 10_000))
	b.ReportAllocs()
	for b.Loop() {
		Build(prev, next, backends())
	}
}
