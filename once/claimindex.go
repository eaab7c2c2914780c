package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/once/oncepb"
)

const (
	// claimsRule is the rule by which records of the claims stream are folded.
	claimsRule = 1
	// digestBytes is the length of an own key's digest.
	digestBytes = 16
)

// errClaimsRule means that a record cannot be folded by this daemon.
var errClaimsRule = errors.New("claims record by another rule or lifetime")

// errClaimsGap means that the log returned an offset that was not asked for.
var errClaimsGap = errors.New("claims record out of order")

// claimDigest stands for a customer's own key. Two that collide would share an
// execution, so it is cut from a cryptographic digest.
type claimDigest [digestBytes]byte

func digestOf(customer, key string) claimDigest {
	h := sha256.New()
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(customer)))
	h.Write(n[:])
	h.Write([]byte(customer))
	h.Write([]byte(key))
	return claimDigest(h.Sum(nil)[:digestBytes])
}

// claim ties a digest to an issued key.
type claim struct {
	batch  *claimBatch
	serial uint64
	tag    uint32
	digest claimDigest
}

func (c *claim) key() Key {
	return Key{host: c.batch.host, boot: c.batch.boot, serial: c.serial, tag: c.tag}
}

// claimBatch is one folded record.
type claimBatch struct {
	offset eventlog.Offset
	host   string
	boot   uint64
	claims []claim
}

// claimIndex is the fold of the claims stream from some record on. The first
// claim of a digest above the horizon holds. The horizon is the highest offset
// that a record read so far attests to be older than the lifetime of claims,
// so that a claim ends by the order of the log and not by anyone's clock: all
// readers of the same records agree.
type claimIndex struct {
	lifetime time.Duration
	// first is the offset that the fold began at, next the one to read.
	first, next eventlog.Offset
	horizon     eventlog.Offset
	// batches above the horizon, oldest first.
	batches fifo[*claimBatch]
	heads   map[claimDigest]*claim
	// later holds what was claimed again, in order. Claimers that race make
	// such claims; the next one holds when those before it end.
	later map[claimDigest][]*claim
	// hosts has each host's name once.
	hosts map[string]string
	live  int
}

func newClaimIndex(first eventlog.Offset, lifetime time.Duration) *claimIndex {
	return &claimIndex{
		lifetime: lifetime, first: first, next: first,
		heads: make(map[claimDigest]*claim), later: make(map[claimDigest][]*claim), hosts: make(map[string]string),
	}
}

// lookup returns the key that holds for a digest.
func (x *claimIndex) lookup(d claimDigest) (Key, bool) {
	c, ok := x.heads[d]
	if !ok {
		return Key{}, false
	}
	return c.key(), true
}

// complete reports whether all records before the fold's first are attested to
// be older than the lifetime, so that no claim is missing from it.
func (x *claimIndex) complete() bool { return x.first <= x.horizon+1 }

// fold takes the next record. On an error it is not taken.
func (x *claimIndex) fold(r eventlog.Record) error {
	if r.Offset != x.next {
		return errors.Wrapf(errClaimsGap, "offset %d instead of %d", r.Offset, x.next)
	}
	var pb oncepb.ClaimBatch
	if err := proto.Unmarshal(r.Data, &pb); err != nil {
		// Nothing that this package wrote; all readers skip it.
		x.next++
		return nil
	}
	if pb.GetRuleVersion() != claimsRule || pb.GetLifetimeSeconds() != lifetimeSeconds(x.lifetime) {
		return errors.Wrapf(errClaimsRule, "offset %d: rule %d, lifetime %d s",
			r.Offset, pb.GetRuleVersion(), pb.GetLifetimeSeconds())
	}
	x.next++
	x.raise(min(pb.GetHorizon(), r.Offset-1))
	x.add(x.batch(r.Offset, &pb))
	return nil
}

func lifetimeSeconds(d time.Duration) uint32 { return uint32(d / time.Second) }

func (x *claimIndex) batch(offset eventlog.Offset, pb *oncepb.ClaimBatch) *claimBatch {
	host, ok := x.hosts[pb.GetHost()]
	if !ok {
		host = pb.GetHost()
		x.hosts[host] = host
	}
	b := &claimBatch{offset: offset, host: host, boot: pb.GetBoot(), claims: make([]claim, 0, len(pb.GetClaims()))}
	for _, c := range pb.GetClaims() {
		if len(c.GetDigest()) == digestBytes {
			b.claims = append(b.claims, claim{b, c.GetSerial(), c.GetTag(), claimDigest(c.GetDigest())})
		}
	}
	return b
}

func (x *claimIndex) add(b *claimBatch) {
	x.batches.push(b)
	x.live += len(b.claims)
	for i := range b.claims {
		c := &b.claims[i]
		if x.heads[c.digest] == nil {
			x.heads[c.digest] = c
			continue
		}
		x.later[c.digest] = append(x.later[c.digest], c)
	}
}

// raise lifts the horizon and ends the claims at or below it.
func (x *claimIndex) raise(horizon eventlog.Offset) {
	x.horizon = max(x.horizon, horizon)
	for x.batches.len() > 0 && (*x.batches.at(0)).offset <= x.horizon {
		b := x.batches.pop()
		x.live -= len(b.claims)
		for i := range b.claims {
			x.end(b.claims[i].digest)
		}
	}
	if x.batches.len() == 0 {
		clear(x.hosts)
	}
}

// end replaces the oldest claim of a digest by the next one. Claims end in the
// order in which they came, so the oldest is the head.
func (x *claimIndex) end(d claimDigest) {
	later := x.later[d]
	if len(later) == 0 {
		delete(x.heads, d)
		return
	}
	x.heads[d] = later[0]
	if len(later) == 1 {
		delete(x.later, d)
		return
	}
	x.later[d] = later[1:]
}
