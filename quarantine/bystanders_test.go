package quarantine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// service is servers that run lookups, each with the daemon beside it. Lookups take a while;
// a deadly one ends its server with all that it runs, which then is away for some seconds.
// What broke off is sent on once if its daemon allows that, and then comes again by its
// caller.
type service struct {
	*daemons
	rnd     *rand.Rand
	servers []simServer
	// delay is how long news takes to reach all.
	delay    time.Duration
	lastTold time.Time
	next     int
	crashes  int
	// refused are the requests that a daemon refused.
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
	// tries is how many servers may yet be tried, by the daemons and the caller.
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

// send runs a request at a server that has room, by the word of its daemon.
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

// step ends what ends now, and returns what broke off.
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

// One request ends each server that runs it and comes again, 150 other lookups a second run
// beside it on nine servers. After the third server it must reach few more, and what ran
// beside it must not be refused for it, though each crash has up to eight bystanders that
// are sent again to a server which may be the next.
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
	t.Logf("20 seeds: %d servers ended, %d innocent requests refused", crashes, innocents)
	must.Eq(t, 0, innocents)
}
