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
	// claimsRuleVersion is the version of the rules for applying records of the claims
	// stream.
	claimsRuleVersion = 1
	// digestBytes is the length of a claimDigest in bytes.
	digestBytes = 16
)

// errClaimsIncompatible means that this daemon cannot apply a record, because its writer
// uses another rule version or lifetime.
var errClaimsIncompatible = errors.New("claims record with another rule version or lifetime")

// errClaimsGap means that the log returned a record with an offset other than the requested
// one.
var errClaimsGap = errors.New("claims record out of order")

// claimDigest identifies a caller-generated key of a customer. It is a truncated
// cryptographic digest, because keys with colliding digests would share an execution.
type claimDigest [digestBytes]byte

// digestOf returns the digest of a customer and its caller-generated key. The length prefix
// of the customer keeps the two apart.
func digestOf(customer, key string) claimDigest {
	h := sha256.New()
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(customer)))
	h.Write(n[:])
	h.Write([]byte(customer))
	h.Write([]byte(key))
	return claimDigest(h.Sum(nil)[:digestBytes])
}

// claim maps a digest to an issued key.
type claim struct {
	batch  *claimBatch
	serial uint64
	tag    uint32
	digest claimDigest
}

func (c *claim) key() Key {
	return Key{host: c.batch.host, boot: c.batch.boot, serial: c.serial, tag: c.tag}
}

// claimBatch is the content of one applied record: the claims of one daemon process.
type claimBatch struct {
	offset eventlog.Offset
	host   string
	boot   uint64
	claims []claim
}

// claimIndex is the state that results from applying the records of the claims stream from
// some offset on. The first claim of a digest above the horizon is in force. The horizon is
// the highest offset that, according to the records applied so far, is older than the
// lifetime of claims. Since claims expire by log order and not by the clock of a reader, all
// readers of the same records agree.
type claimIndex struct {
	lifetime time.Duration
	// first is the offset of the first applied record, next that of the next record to
	// apply.
	first, next eventlog.Offset
	// horizon is the offset at and below which claims have expired.
	horizon eventlog.Offset
	// batches contains the batches above the horizon, oldest first.
	batches fifo[*claimBatch]
	// inForce contains the claim in force of each digest.
	inForce map[claimDigest]*claim
	// queued contains the further claims of a digest, in log order. They result from
	// daemons that claim a key concurrently. The first of them comes into force when the
	// claims before it have expired.
	queued map[claimDigest][]*claim
	// hosts interns the host names of the batches.
	hosts map[string]string
	// liveClaims is the number of claims above the horizon.
	liveClaims int
}

func newClaimIndex(first eventlog.Offset, lifetime time.Duration) *claimIndex {
	return &claimIndex{
		lifetime: lifetime, first: first, next: first,
		inForce: make(map[claimDigest]*claim), queued: make(map[claimDigest][]*claim), hosts: make(map[string]string),
	}
}

// lookup returns the key that a digest maps to.
func (x *claimIndex) lookup(d claimDigest) (Key, bool) {
	c, ok := x.inForce[d]
	if !ok {
		return Key{}, false
	}
	return c.key(), true
}

// complete reports whether all records before first are at or below the horizon, so that no
// claim in force is missing from the index.
func (x *claimIndex) complete() bool { return x.first <= x.horizon+1 }

// apply applies the next record. If it returns an error, the index is unchanged.
func (x *claimIndex) apply(r eventlog.Record) error {
	if r.Offset != x.next {
		return errors.Wrapf(errClaimsGap, "got offset %d, want %d", r.Offset, x.next)
	}
	var pb oncepb.ClaimBatch
	if err := proto.Unmarshal(r.Data, &pb); err != nil {
		// Not written by this package. All readers skip the record.
		x.next++
		return nil
	}
	if pb.GetRuleVersion() != claimsRuleVersion || pb.GetLifetimeSeconds() != lifetimeSeconds(x.lifetime) {
		return errors.Wrapf(errClaimsIncompatible, "offset %d: rule version %d, lifetime %d s",
			r.Offset, pb.GetRuleVersion(), pb.GetLifetimeSeconds())
	}
	x.next++
	x.raiseHorizon(min(pb.GetHorizon(), r.Offset-1))
	x.add(x.decodeBatch(r.Offset, &pb))
	return nil
}

// lifetimeSeconds returns a lifetime in the unit of ClaimBatch.
func lifetimeSeconds(d time.Duration) uint32 { return uint32(d / time.Second) }

// decodeBatch converts a record, and skips claims with a digest of the wrong length.
func (x *claimIndex) decodeBatch(offset eventlog.Offset, pb *oncepb.ClaimBatch) *claimBatch {
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

// add adds the claims of the latest batch.
func (x *claimIndex) add(b *claimBatch) {
	x.batches.push(b)
	x.liveClaims += len(b.claims)
	for i := range b.claims {
		c := &b.claims[i]
		if x.inForce[c.digest] == nil {
			x.inForce[c.digest] = c
			continue
		}
		x.queued[c.digest] = append(x.queued[c.digest], c)
	}
}

// raiseHorizon raises the horizon and removes the claims at or below it.
func (x *claimIndex) raiseHorizon(horizon eventlog.Offset) {
	x.horizon = max(x.horizon, horizon)
	for x.batches.len() > 0 && (*x.batches.at(0)).offset <= x.horizon {
		b := x.batches.pop()
		x.liveClaims -= len(b.claims)
		for i := range b.claims {
			x.expireOldest(b.claims[i].digest)
		}
	}
	if x.batches.len() == 0 {
		clear(x.hosts)
	}
}

// expireOldest replaces the oldest claim of a digest by the next one. Claims expire in log
// order, so the oldest claim is the one in force.
func (x *claimIndex) expireOldest(d claimDigest) {
	later := x.queued[d]
	if len(later) == 0 {
		delete(x.inForce, d)
		return
	}
	x.inForce[d] = later[0]
	if len(later) == 1 {
		delete(x.queued, d)
		return
	}
	x.queued[d] = later[1:]
}
