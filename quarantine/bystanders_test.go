package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// service simulates backend servers that process lookups, each with a daemon beside it. A
// crashing lookup terminates its server with all lookups in progress, and the server restarts
// after some seconds. Interrupted lookups are sent again, up to a number of attempts.
type service struct {
	*daemons
	rnd     *rand.Rand
	servers []simServer
	// delay is the interval at which the daemons exchange notes.
	delay    time.Duration
	lastTold time.Time
	next     int
	crashes  int
	// refused holds the requests that a daemon rejected.
	refused map[Identity]bool
}

type simServer struct {
	back time.Time
	runs []simRun
}

type simRun struct {
	id     Identity
	ends   time.Time
	deadly bool
	// tries is the number of attempts left, by the daemons and the caller together.
	tries int
}

const (
	simServers, simSlots = 9, 9
	simRunTime           = 220 * time.Millisecond
	simDeadlyTime        = 80 * time.Millisecond
	simAway              = 3 * time.Second
	simStep              = 10 * time.Millisecond
	simTries             = 4
)

func newService(seed uint64) *service {
	return &service{
		daemons: newDaemons(simServers), rnd: rand.New(rand.NewPCG(seed, 1)), servers: make([]simServer, simServers),
		delay: 500 * time.Millisecond, refused: map[Identity]bool{},
	}
}

// send starts a request at a random server with a free slot, unless the daemon rejects it.
func (s *service) send(r simRun) {
	var open []int
	for i, srv := range s.servers {
		if !srv.back.After(s.now) && len(srv.runs) < simSlots {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return
	}
	at := open[s.rnd.IntN(len(open))]
	if s.ledgers[at].QuarantinedFor(r.id) > 0 {
		s.refused[r.id] = true
		return
	}
	r.ends = s.now.Add(simRunTime)
	if r.deadly {
		r.ends = s.now.Add(simDeadlyTime)
	}
	r.tries--
	s.servers[at].runs = append(s.servers[at].runs, r)
}

// step advances the time by simStep, completes the requests that end, and returns those that a
// crash interrupted.
func (s *service) step() (broken []simRun) {
	s.now = s.now.Add(simStep)
	for i := range s.servers {
		srv := &s.servers[i]
		crashed := slices.ContainsFunc(srv.runs, func(r simRun) bool { return r.deadly && !r.ends.After(s.now) })
		if crashed {
			var ids []Identity
			for _, r := range srv.runs {
				ids = append(ids, r.id)
			}
			s.ledgers[i].RecordCrash(ids)
			broken = append(broken, srv.runs...)
			srv.runs, srv.back = nil, s.now.Add(simAway)
			s.crashes++
			continue
		}
		srv.runs = slices.DeleteFunc(srv.runs, func(r simRun) bool {
			if r.ends.After(s.now) {
				return false
			}
			s.ledgers[i].RecordSuccess(r.id)
			return true
		})
	}
	if s.now.Sub(s.lastTold) >= s.delay {
		s.tell()
		s.lastTold = s.now
	}
	return broken
}

// Guards against quarantining requests that merely run beside a crashing one. One request
// crashes each server that processes it and is repeated; 150 other lookups per second run on
// the nine servers. After the third crash few more servers may crash, and no other request may
// be rejected, although each crash interrupts up to eight others, which are sent again to a
// server that may be the next to crash.
func TestLedger_BystandersAreServed(t *testing.T) {
	const perStep, seconds = 1.5, 15
	crashes, innocents := 0, 0
	for seed := range uint64(20) {
		s := newService(seed)
		for i := range int(seconds * time.Second / simStep) {
			for range int(perStep + s.rnd.Float64()) {
				s.next++
				s.send(simRun{id: identity(s.next), tries: simTries})
			}
			if i%10 == 0 {
				s.send(simRun{id: deadly, deadly: true, tries: simTries})
			}
			for _, r := range s.step() {
				if r.tries > 0 {
					s.send(r)
				}
			}
		}
		must.True(t, s.refused[deadly])
		must.LessEq(t, simServers+3, s.crashes, must.Sprint("seed", seed))
		crashes += s.crashes
		innocents += len(s.refused) - 1
	}
	t.Logf("20 seeds: %d server crashes, %d other requests rejected", crashes, innocents)
	must.Eq(t, 0, innocents)
}
