package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// ledgerModel is one ledger with holders behind a network that delays, duplicates, reorders and
// loses messages.
type ledgerModel struct {
	now      time.Duration
	ledger   *ledger
	fleet    *fleet
	contract amount
	holders  []*modelHolder
	requests []modelRequest
	answers  []modelAnswer
}

// modelHolder is what a process actually holds.
type modelHolder struct {
	id       holderID
	sequence uint64
	held     amount
	expires  time.Duration
}

type modelRequest struct {
	holder   *modelHolder
	id       holderID
	sequence uint64
	sentAt   time.Duration
	claim    *quotapb.Claim
}

type modelAnswer struct {
	modelRequest
	lease *quotapb.Lease
}

func newLedgerModel(t *rapid.T) *ledgerModel {
	m := &ledgerModel{contract: amount{
		rate:  rapid.Float64Range(1, 1000).Draw(t, "rate"),
		burst: rapid.Float64Range(1, 500).Draw(t, "burst"),
		slots: float64(rapid.IntRange(0, 20).Draw(t, "slots")),
	}}
	view := &membership.View{}
	for i := range 3 {
		h := &modelHolder{id: holderID{fmt.Sprint("h", i), 1}}
		m.holders = append(m.holders, h)
		view.Members = append(view.Members, &membership.Member{Host: h.id.host, Boot: 1, Liveness: membership.Alive})
	}
	view.Self = &membership.Member{Host: "owner", Boot: 99}
	m.fleet = newFleet(view, time.Time{}, 0, nil, DefaultOptions())
	m.ledger = newLedger(DefaultOptions(), &snapshot.Contract{Rate: m.contract.rate, Burst: m.contract.burst, MaxConcurrent: int(m.contract.slots)}, 0, 0)
	return m
}

func (h *modelHolder) holds(now time.Duration) amount {
	if now >= h.expires {
		return amount{}
	}
	return h.held
}

// claim sends a claim, after the holder has given up a part of its lease.
func (m *ledgerModel) claim(t *rapid.T) {
	h := rapid.SampledFrom(m.holders).Draw(t, "holder")
	h.held = h.holds(m.now).scale(rapid.SampledFrom([]float64{0, 0.5, 1, 1, 1, 1}).Draw(t, "kept")).wholeSlots()
	h.sequence++
	var grantedBy uint64
	if m.now < h.expires {
		grantedBy = m.fleet.boot()
	}
	m.requests = append(m.requests, modelRequest{h, h.id, h.sequence, m.now, &quotapb.Claim{
		Held: h.held.proto(), GrantedBy: grantedBy,
		Demand: rapid.SampledFrom([]float64{0, 1, m.contract.rate, 5 * m.contract.rate}).Draw(t, "demand"),
		InUse:  uint32(rapid.IntRange(0, 30).Draw(t, "in use")),
		Need:   uint32(rapid.IntRange(0, 5).Draw(t, "need")),
		Pooled: rapid.Bool().Draw(t, "pooled"),
	}})
}

// deliver delivers a request to the owner, and may keep it to deliver it again later.
func (m *ledgerModel) deliver(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")
	r := m.requests[i]
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		m.requests = append(m.requests[:i], m.requests[i+1:]...)
	}
	lease := m.ledger.claim(m.now, m.fleet, r.id, r.sequence, r.claim)
	m.answers = append(m.answers, modelAnswer{r, lease})
}

// exchange delivers a claim and its answer without delay.
func (m *ledgerModel) exchange(t *rapid.T) {
	m.claim(t)
	r := m.requests[len(m.requests)-1]
	m.requests = m.requests[:len(m.requests)-1]
	m.take(modelAnswer{r, m.ledger.claim(m.now, m.fleet, r.id, r.sequence, r.claim)})
}

// answer delivers an answer to its holder, which accepts it only if it has not claimed again.
func (m *ledgerModel) answer(t *rapid.T) {
	if len(m.answers) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.answers)-1).Draw(t, "answer")
	a := m.answers[i]
	m.answers = append(m.answers[:i], m.answers[i+1:]...)
	m.take(a)
}

func (m *ledgerModel) take(a modelAnswer) {
	if a.lease.GetVerdict() == quotapb.Verdict_VERDICT_GRANTED && a.sequence == a.holder.sequence && a.id == a.holder.id {
		a.holder.held = amountFromProto(a.lease.GetGranted())
		a.holder.expires = a.sentAt + DefaultLeaseTime
	}
}

func (m *ledgerModel) wait(t *rapid.T) {
	m.now += time.Duration(rapid.Int64Range(0, int64(DefaultLeaseTime)*2/3).Draw(t, "wait"))
	if rapid.Bool().Draw(t, "sweep") {
		m.ledger.sweep(m.now, m.fleet)
	}
}

// restart replaces a holder's process. Membership may show the new process now, later or never.
func (m *ledgerModel) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")
	old := m.holders[i]
	m.holders[i] = &modelHolder{id: holderID{old.id.host, old.id.boot + 1}}
	if rapid.Bool().Draw(t, "shown") {
		m.fleet.view.Members[i].Boot = m.holders[i].id.boot
	}
}

func (m *ledgerModel) pauseOwner(*rapid.T) {
	m.now += maxHeartbeatGap
	m.ledger.sweep(m.now, m.fleet)
	m.ledger.settle(m.now+DefaultLeaseTime/settleDivisor, m.now)
}

func (m *ledgerModel) check(t *rapid.T) {
	var sum amount
	for _, h := range m.holders {
		sum = sum.plus(h.holds(m.now))
	}
	over := sum.minus(m.contract)
	const rounding = 1e-6
	must.True(t, over.rate < rounding && over.burst < rounding && over.slots < rounding, must.Sprintf("held %+v of %+v", sum, m.contract))
}

// Holders claim, give up amounts and restart while requests and answers are lost, delayed,
// duplicated and reordered and the owner is paused. What all holders may use stays within the
// contract at all times, since the owner charges each holder the larger of its reported and its
// granted amount until the holder claims again or the lease has ended.
func TestLedger_neverGrantsMoreThanContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim":      m.claim,
			"exchange":   m.exchange,
			"exchange2":  m.exchange,
			"deliver":    m.deliver,
			"answer":     m.answer,
			"wait":       m.wait,
			"restart":    m.restart,
			"pauseOwner": m.pauseOwner,
			"":           m.check,
		})
	})
}

// A holder with a bucket is told to delegate its rate. Until its next claim, nobody can use the rate, so
// that claim must come soon: the pool was short of the rate for two seconds.
func TestLedger_delegationBeginsSoon(t *testing.T) {
	m, _ := managerWithLease(t)
	f := m.fleet.Load()
	l := newLedger(DefaultOptions(), &snapshot.Contract{Rate: 20, Burst: 20}, 0, time.Minute)
	id := func(i int) holderID { return holderID{"h", uint64(100 + i)} }
	var first *quotapb.Lease
	for i := range 20 {
		granted := l.claim(time.Minute, f, id(i), 1, &quotapb.Claim{Demand: 0.5})
		if first == nil {
			first = granted
		}
	}
	must.False(t, first.GetPooled())
	again := l.claim(time.Minute, f, id(0), 2, &quotapb.Claim{Demand: 0.5, Held: first.GetGranted(), GrantedBy: f.boot()})
	must.True(t, again.GetPooled())
	must.LessEq(t, 200, again.GetRenewAfterMs())
}
