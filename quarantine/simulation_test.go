package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simService simulates backend servers that process lookups, each with a daemon beside it. A
// crashing lookup terminates its server with all lookups in progress, and the server restarts
// after some seconds. Interrupted lookups are sent again, up to a number of attempts.
type simService struct {
	*simDaemons
	rnd     *rand.Rand
	servers []simServer
	// noteDelay is the interval at which the daemons exchange notes.
	noteDelay    time.Duration
	lastExchange time.Time
	next         int
	crashes      int
	// rejected holds the requests that a daemon rejected.
	rejected map[Identity]bool
}

type simServer struct {
	restartsAt time.Time
	running    []simRun
}

type simRun struct {
	id       Identity
	ends     time.Time
	crashing bool
	// attemptsLeft is the number of attempts left, by the daemons and the caller together.
	attemptsLeft int
}

const (
	simServers, simSlots = 9, 9
	simRunTime           = 220 * time.Millisecond
	simCrashTime         = 80 * time.Millisecond
	simRestartTime       = 3 * time.Second
	simStep              = 10 * time.Millisecond
	simMaxAttempts       = 4
)

func newSimService(seed uint64) *simService {
	return &simService{
		simDaemons: newSimDaemons(simServers), rnd: rand.New(rand.NewPCG(seed, 1)), servers: make([]simServer, simServers),
		noteDelay: 500 * time.Millisecond, rejected: map[Identity]bool{},
	}
}

// send starts a request at a random server with a free slot, unless the daemon rejects it.
func (s *simService) send(r simRun) {
	var available []int
	for i, srv := range s.servers {
		if !srv.restartsAt.After(s.now) && len(srv.running) < simSlots {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return
	}
	at := available[s.rnd.IntN(len(available))]
	if s.trackers[at].QuarantinedFor(r.id) > 0 {
		s.rejected[r.id] = true
		return
	}
	r.ends = s.now.Add(simRunTime)
	if r.crashing {
		r.ends = s.now.Add(simCrashTime)
	}
	r.attemptsLeft--
	s.servers[at].running = append(s.servers[at].running, r)
}

// step advances the time by simStep, completes the requests that end, and returns those that a
// crash interrupted.
func (s *simService) step() (interrupted []simRun) {
	s.now = s.now.Add(simStep)
	for i := range s.servers {
		srv := &s.servers[i]
		crashed := slices.ContainsFunc(srv.running, func(r simRun) bool { return r.crashing && !r.ends.After(s.now) })
		if crashed {
			var ids []Identity
			for _, r := range srv.running {
				ids = append(ids, r.id)
			}
			s.trackers[i].RecordCrash(ids)
			interrupted = append(interrupted, srv.running...)
			srv.running, srv.restartsAt = nil, s.now.Add(simRestartTime)
			s.crashes++
			continue
		}
		srv.running = slices.DeleteFunc(srv.running, func(r simRun) bool {
			if r.ends.After(s.now) {
				return false
			}
			s.trackers[i].RecordSuccess(r.id)
			return true
		})
	}
	if s.now.Sub(s.lastExchange) >= s.noteDelay {
		s.exchangeNotes()
		s.lastExchange = s.now
	}
	return interrupted
}

// Guards against quarantining requests that merely run beside a crashing one. One request
// crashes each server that processes it and is repeated; 150 other lookups per second run on
// the nine servers. After the third crash few more servers may crash, and no other request may
// be rejected, although each crash interrupts up to eight others, which are sent again to a
// server that may be the next to crash.
func TestTracker_DoesNotQuarantineConcurrentRequests(t *testing.T) {
	const perStep, seconds = 1.5, 15
	crashes, others := 0, 0
	for seed := range uint64(20) {
		s := newSimService(seed)
		for i := range int(seconds * time.Second / simStep) {
			for range int(perStep + s.rnd.Float64()) {
				s.next++
				s.send(simRun{id: identity(s.next), attemptsLeft: simMaxAttempts})
			}
			if i%10 == 0 {
				s.send(simRun{id: crashingRequest, crashing: true, attemptsLeft: simMaxAttempts})
			}
			for _, r := range s.step() {
				if r.attemptsLeft > 0 {
					s.send(r)
				}
			}
		}
		must.True(t, s.rejected[crashingRequest])
		must.LessEq(t, simServers+3, s.crashes, must.Sprint("seed", seed))
		crashes += s.crashes
		others += len(s.rejected) - 1
	}
	t.Logf("20 seeds: %d server crashes, %d other requests rejected", crashes, others)
	must.Eq(t, 0, others)
}
