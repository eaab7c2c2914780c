package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// at is a time of the hand-made trial, in seconds from its start.
func at(s float64) time.Time {
	return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).Add(time.Duration(s * float64(time.Second)))
}

// call is one that begins at a time and takes 100 ms for each try.
func call(id, method, path string, start float64, tries ...caller.Try) caller.Call {
	c := caller.Call{RequestID: id, Method: method, Path: path, Start: at(start), Tries: len(tries)}
	for i := range tries {
		t := &tries[i]
		t.Target = "http://a"
		t.Start = at(start + 0.1*float64(i))
		t.End = t.Start.Add(100 * time.Millisecond)
		c.Verdict, c.Kind, c.Run = t.Verdict, t.Kind, t.Run
	}
	c.Log = tries
	c.Latency = time.Duration(len(tries)) * 100 * time.Millisecond
	return c
}

func keyed(c caller.Call) caller.Call {
	c.IdempotencyKey = "key-" + c.RequestID
	return c
}

func answered(version uint64) caller.Try { return caller.Try{Verdict: caller.OK, Config: version} }

func refused(k errkind.Kind) caller.Try {
	return caller.Try{Verdict: caller.Refused, Kind: k, Run: errkind.NotRun}
}

func unknown(k errkind.Kind) caller.Try {
	return caller.Try{Verdict: caller.Unknown, Kind: k, Run: errkind.RunUnknown}
}

var sequence uint64

// ran is the execution of a try of a call on server b.
func ran(c caller.Call, try int, start float64) backendserver.Execution {
	sequence++
	return backendserver.Execution{
		Boot: 1, Seq: sequence, Server: "b", RequestID: c.RequestID, IdempotencyKey: c.IdempotencyKey,
		Try: try, Method: c.Method, Path: c.Path, Start: at(start), End: at(start + 0.05), Outcome: backendserver.Completed,
	}
}

func saw(host string, life int, t float64, offset uint64) Observation {
	return Observation{Host: host, Life: life, Asked: at(t), At: at(t + 0.01), Offset: offset}
}

func told(host string, t float64, offset uint64, revisions map[string]uint64) State {
	return State{Host: host, At: at(t), Offset: offset, Chain: "chain", Revisions: revisions}
}

// good is a trial in which all went as promised: host b is killed at 10 s and
// starts again at 12 s, host c is paused from 10 to 40 s, server b leaves at 30 s,
// and an accepted bundle, a rejected one and a race are published.
func good() *Records {
	lookup := call("lookup", "GET", "/signs/1", 1, answered(1))
	hold := keyed(call("hold", "POST", "/holds/1", 2, unknown(errkind.KeyUnresolved), answered(0)))
	gate := call("gate", "POST", "/gates/1", 3, refused(errkind.Overloaded), answered(1))
	open := call("open", "POST", "/gates/2", 4, unknown(errkind.OutcomeUnknown))
	held := keyed(call("held", "POST", "/holds/3", 31, unknown(errkind.RateLimited), answered(0)))
	late := call("late", "GET", "/signs/2", 20, answered(3))
	return &Records{
		Calls: []caller.Call{lookup, hold, gate, open, late, held},
		Executions: []backendserver.Execution{
			ran(lookup, 1, 1.05), ran(hold, 1, 2.05), ran(gate, 2, 3.15), ran(open, 1, 4.05), ran(late, 1, 20.05),
			ran(held, 2, 31.15),
		},
		Observations: []Observation{
			saw("a", 1, 1, 1), saw("b", 1, 1, 1), saw("c", 1, 1, 1), saw("a", 1, 6.1, 2), saw("b", 1, 6.1, 2), saw("c", 1, 6.1, 2),
			saw("b", 2, 13, 0), saw("b", 2, 14, 2), saw("a", 1, 13, 3), saw("a", 1, 13.9, 3), saw("b", 2, 16.1, 3),
			saw("c", 1, 40.1, 2), saw("c", 1, 44.2, 3),
		},
		States: []State{
			told("a", 7, 2, map[string]uint64{"contract/x": 2, "contract/y": 2}),
			told("b", 7, 2, map[string]uint64{"contract/x": 2, "contract/y": 2}),
			told("a", 14, 4, map[string]uint64{"contract/x": 3, "contract/y": 2}),
		},
		Publishes: []Publish{
			{ID: "pair", Outcome: Accepted, Offset: 2, At: at(2), Resources: []string{"contract/x", "contract/y"}, Customer: "new"},
			{ID: "win", Outcome: Accepted, Offset: 3, At: at(11), Resources: []string{"contract/x"}, Race: "r"},
			{ID: "lose", Outcome: Rejected, Offset: 4, At: at(11), Resources: []string{"contract/x"}, Race: "r"},
			{ID: "bad", Outcome: Rejected, Offset: 5, At: at(12), Resources: []string{"contract/x", "contract/z"}},
		},
		Probes: []Probe{
			{Host: "a", Customer: "new", Sent: at(3), Unknown: true}, {Host: "a", Customer: "new", Sent: at(6.5)},
			{Host: "a", Customer: "new", Sent: at(50)},
		},
		Absences: []Absence{
			{Host: "b", From: at(10), To: at(12)}, {Host: "c", From: at(10), To: at(40)},
		},
		Leaves: []Leave{{Server: "b", At: at(30), Back: at(40)}},
		Stops:  []Stop{{Hosts: []string{"b"}, From: at(30), To: at(34)}},
		Routes: []Route{
			{Prefix: "/signs/", Services: []string{"feed"}, Unbroken: true, From: at(0), To: at(9)},
		},
		Services: map[string]string{"b": "feed"},
	}
}

func TestGoodRecordsPass(t *testing.T) {
	must.SliceEmpty(t, Check(good()))
}

// Each case breaks one promise in the records of a good trial. The checker must
// see it, and nothing else.
func TestBreachesAreSeen(t *testing.T) {
	add := func(r *Records, c caller.Call, runs ...backendserver.Execution) {
		r.Calls = append(r.Calls, c)
		r.Executions = append(r.Executions, runs...)
	}
	wanted := map[Kind]bool{}
	for name, tc := range map[string]struct {
		spoil func(*Records)
		want  Kind
	}{
		"a hold runs twice in two tries": {func(r *Records) {
			c := keyed(call("x", "POST", "/holds/2", 5, unknown(errkind.OutcomeUnknown), answered(0)))
			add(r, c, ran(c, 1, 5.05), ran(c, 2, 5.15))
		}, Double},
		"one key runs twice under two request ids": {func(r *Records) {
			c, d := keyed(call("x", "POST", "/holds/2", 5, answered(0))), call("y", "POST", "/holds/2", 6, answered(0))
			d.IdempotencyKey = c.IdempotencyKey
			add(r, c, ran(c, 1, 5.05))
			add(r, d, ran(d, 1, 6.05))
		}, Double},
		"a call of which the caller has no record runs twice": {func(r *Records) {
			c := call("x", "POST", "/gates/2", 5)
			r.Executions = append(r.Executions, ran(c, 1, 5.05), ran(c, 1, 5.15))
		}, Double},
		"a refused call has run": {func(r *Records) {
			c := call("x", "POST", "/gates/2", 5, refused(errkind.Unreachable))
			add(r, c, ran(c, 1, 5.05))
		}, RanAfterAll},
		"a refused call runs much later": {func(r *Records) {
			c := call("x", "POST", "/gates/2", 5, refused(errkind.DeadlineNotRun))
			add(r, c, ran(c, 1, 90))
		}, RanAfterAll},
		"an earlier try under a refused key has run": {func(r *Records) {
			c := keyed(call("x", "POST", "/holds/2", 5, unknown(errkind.KeyUnresolved), refused(errkind.KeyUnknown)))
			add(r, c, ran(c, 1, 5.05))
		}, RanAfterAll},
		"a refused try ran before the good one of a lookup": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 5, refused(errkind.Overloaded), answered(1))
			add(r, c, ran(c, 1, 5.05), ran(c, 2, 5.15))
		}, RanAfterAll},
		"a call that was not sent has run": {func(r *Records) {
			c := call("x", "POST", "/gates/2", 5, caller.Try{Verdict: caller.NotSent})
			add(r, c, ran(c, 1, 5.05))
		}, RanAfterAll},
		"an answer is another call's": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 5, caller.Try{Verdict: caller.Wrong})
			add(r, c, ran(c, 1, 5.05))
		}, WrongAnswer},
		"an answered hold never ran": {func(r *Records) {
			add(r, keyed(call("x", "POST", "/holds/2", 5, answered(0))))
		}, Lost},
		"an answered lookup ran in an earlier try only": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 5, unknown(errkind.BackendFailed), answered(1))
			add(r, c, ran(c, 1, 5.05))
		}, Lost},
		"a daemon goes back": {func(r *Records) {
			r.Observations = append(r.Observations, saw("d", 1, 1, 3), saw("d", 1, 2, 2))
		}, Fell},
		"a daemon loses its version": {func(r *Records) {
			r.Observations = append(r.Observations, saw("d", 1, 1, 3), saw("d", 1, 2, 0))
		}, Fell},
		"a restarted daemon starts below its host's version": {func(r *Records) {
			r.Observations = append(r.Observations, saw("d", 1, 1, 3), saw("d", 2, 2, 0), saw("d", 2, 3, 2))
		}, Fell},
		"an answer is served with an older version": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 21, answered(2))
			add(r, c, ran(c, 1, 21.05))
		}, Fell},
		"a version is late": {func(r *Records) {
			r.Observations = append(r.Observations, saw("d", 1, 1, 1), saw("d", 1, 6.1, 1))
		}, Late},
		"a woken daemon stays behind": {func(r *Records) {
			r.Observations = append(r.Observations, saw("d", 1, 1, 2), saw("d", 1, 44.2, 2))
			r.Absences = append(r.Absences, Absence{Host: "d", From: at(10), To: at(40)})
		}, Late},
		"a customer is not known in time": {func(r *Records) {
			r.Probes = append(r.Probes, Probe{Host: "d", Customer: "new", Sent: at(6.5), Unknown: true})
		}, Late},
		"a customer is forgotten": {func(r *Records) {
			r.Probes = append(r.Probes, Probe{Host: "a", Customer: "new", Sent: at(60), Unknown: true})
		}, Reverted},
		"an accepted change is gone": {func(r *Records) {
			r.States = append(r.States, told("a", 20, 9, map[string]uint64{"contract/x": 3}))
			r.Publishes = r.Publishes[:1]
			r.States[2].Revisions["contract/y"] = 2
			r.States[3].Revisions = map[string]uint64{}
		}, Reverted},
		"half of a bundle is in force": {func(r *Records) {
			r.States = append(r.States, told("a", 6, 9, map[string]uint64{"contract/x": 2, "contract/y": 1}))
			r.Publishes = r.Publishes[:1]
		}, HalfApplied},
		"half of a bundle with an unknown outcome is in force": {func(r *Records) {
			r.Publishes = append(r.Publishes, Publish{ID: "open", Outcome: Unknown, Offset: 8, Resources: []string{"contract/v", "contract/w"}})
			r.States = append(r.States, told("a", 6, 9, map[string]uint64{"contract/x": 9, "contract/y": 9, "contract/v": 8}))
		}, HalfApplied},
		"a part of a rejected bundle is in force": {func(r *Records) {
			r.States = append(r.States, told("a", 6, 9, map[string]uint64{"contract/x": 5, "contract/y": 2}))
		}, HalfApplied},
		"two daemons differ at one version": {func(r *Records) {
			r.States = append(r.States, told("c", 6, 2, map[string]uint64{"contract/x": 2, "contract/y": 2, "contract/z": 1}))
		}, Diverged},
		"two daemons have folded other records": {func(r *Records) {
			r.States[1].Chain = "other"
		}, Diverged},
		"both operators of a race win": {func(r *Records) {
			r.Publishes = append(r.Publishes, Publish{ID: "p", Outcome: Accepted, Offset: 2, At: at(2), Race: "s"},
				Publish{ID: "q", Outcome: Accepted, Offset: 3, At: at(11), Race: "s"})
		}, Race},
		"no operator of a race wins": {func(r *Records) {
			r.Publishes = append(r.Publishes, Publish{ID: "p", Outcome: Rejected, Race: "s"}, Publish{ID: "q", Outcome: Rejected, Race: "s"})
		}, Race},
		"a route leads to nothing": {func(r *Records) {
			add(r, call("x", "GET", "/signs/2", 5, refused(errkind.NoBackend)))
		}, Dangling},
		"a call runs at a service that its route never named": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 5, answered(1))
			e := ran(c, 1, 5.05)
			e.Server = "ops"
			add(r, c, e)
		}, Misrouted},
		"a server that left gets new work": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 35, answered(3))
			add(r, c, ran(c, 1, 35.05))
		}, NewWork},
		"a call fails in a planned stop": {func(r *Records) {
			add(r, call("x", "GET", "/signs/2", 31, refused(errkind.Draining)))
		}, CutOff},
		"a call has to be repeated after it was cut off": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 31, unknown(errkind.BackendFailed), answered(3))
			add(r, c, ran(c, 2, 31.15))
		}, CutOff},
		"a call has to be repeated after its connection broke": {func(r *Records) {
			c := keyed(call("x", "POST", "/holds/2", 31, unknown(errkind.None), answered(0)))
			add(r, c, ran(c, 2, 31.15))
		}, CutOff},
		"an execution is cut off on a host that stops": {func(r *Records) {
			c := call("x", "GET", "/signs/2", 31, answered(3))
			e := ran(c, 1, 31.05)
			e.Outcome, e.End = "", time.Time{}
			add(r, c, e)
		}, CutOff},
	} {
		wanted[tc.want] = true
		t.Run(name, func(t *testing.T) {
			r := good()
			tc.spoil(r)
			found := Check(r)
			must.SliceNotEmpty(t, found)
			for _, v := range found {
				must.Eq(t, tc.want, v.Kind, must.Sprint(v))
			}
		})
	}
	for _, k := range Kinds {
		must.True(t, wanted[k], must.Sprintf("no case for %s", k))
	}
}

// A backend server is killed while it writes, and starts again under its name.
func TestExecutionLog(t *testing.T) {
	lines := `{"boot":1,"seq":1,"server":"b","request_id":"x","method":"POST","start":"2026-03-01T12:00:00Z"}
{"boot":2,"seq":1,"server":"b","request_id":"y","method":"POST","start":"2026-03-01T12:00:01Z"}
{"boot":1,"seq":1,"server":"b","request_id":"x","method":"POST","start":"2026-03-01T12:00:00Z","end":"2026-03-01T12:00:02Z","outcome":"completed"}
{"boot":2,"seq":2,"ser`
	l := NewExecutionLog()
	used, err := l.Add(strings.NewReader(lines))
	must.NoError(t, err)
	must.Eq(t, strings.LastIndexByte(lines, '\n')+1, int(used))
	must.Len(t, 2, l.Executions())
	must.Eq(t, backendserver.Completed, l.Executions()[0].Outcome)
	must.Eq(t, backendserver.Outcome(""), l.Executions()[1].Outcome)
	_, err = l.Add(strings.NewReader("{}x\n"))
	must.Error(t, err)
}
