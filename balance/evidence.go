package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// latencyMemory is the time after which half of the latency seen before is
	// forgotten.
	latencyMemory = time.Second
	// reportMemory is the time after which half of a reported load is forgotten.
	reportMemory = 100 * time.Millisecond
	// drainingFor is how long a gate's word that it drains holds; by then the
	// membership has told everyone.
	drainingFor = 10 * time.Second
	// failuresToEject is how many failures in a row eject a server.
	failuresToEject = 5
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
)

// evidence is what this daemon has seen of one server. Readers take no lock;
// those who write take the server's own.
type evidence struct {
	inFlight atomic.Int64

	mu       sync.Mutex
	failures int
	ejection time.Duration

	// All times are in nanoseconds since the epoch of a monotonic clock reading,
	// see stamp.
	latencySeconds atomic.Uint64
	latencyAt      atomic.Int64
	others         atomic.Uint64
	slots          atomic.Int64
	reportAt       atomic.Int64
	ejectedUntil   atomic.Int64
	drainingUntil  atomic.Int64
}

// epoch turns monotonic readings into integers that fit an atomic.
var epoch = time.Now()

func stamp(t time.Time) int64 { return int64(t.Sub(epoch)) }

func (e *evidence) draining(now time.Time) bool { return stamp(now) < e.drainingUntil.Load() }

func (e *evidence) ejected(now time.Time) bool { return stamp(now) < e.ejectedUntil.Load() }

// latency returns the moving mean of the latency in seconds and whether any was
// seen.
func (e *evidence) latency(time.Time) (float64, bool) {
	l := math.Float64frombits(e.latencySeconds.Load())
	return l, l > 0
}

// load returns the calls expected at the server: this daemon's own, and those
// of others as far as the latest report tells.
func (e *evidence) load(now time.Time) float64 {
	others := math.Float64frombits(e.others.Load())
	age := stamp(now) - e.reportAt.Load()
	return float64(e.inFlight.Load()) + others*decay(time.Duration(age), reportMemory)
}

func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

// cost is the time in seconds that a call is expected to take at the member.
func (m *member) cost(pl *plan, now time.Time) float64 {
	e := m.evidence
	latency, known := e.latency(now)
	if !known {
		latency = pl.typical
	} else {
		fresh := decay(time.Duration(stamp(now)-e.latencyAt.Load()), latencyMemory)
		latency = pl.typical + (latency-pl.typical)*fresh
	}
	slots := float64(max(e.slots.Load(), int64(m.server.Slots), 1))
	warm := 1.0
	if age := now.Sub(m.server.Since); age < m.slow {
		warm = max(minWarmth, float64(age)/float64(m.slow))
	}
	return m.hop + latency*(1+e.load(now)/(slots*warm))
}

// minWarmth is the share of its slots that a server counts with at its start.
const minWarmth = 0.1

// Result tells how a call ended.
type Result struct {
	// Kind is the daemon's error, errkind.None for a backend server's answer.
	Kind errkind.Kind
	// Status is the answer's HTTP status, 0 without an answer.
	Status int
	// Latency is the time from the end of the choice to the head of the answer.
	Latency time.Duration
	// Load is what the gate reported with the answer, nil if nothing came.
	Load *Load
}
