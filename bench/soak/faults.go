package main

import (
	"context"
	"math/rand/v2"
	"net/url"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxFaultPause is the longest time between the beginnings of two faults.
	maxFaultPause = 4 * time.Second
	minFaultTime  = 300 * time.Millisecond
	maxFaultTime  = 6 * time.Second
	// restartDelay is the longest time from the end of a daemon to its restart.
	restartDelay = 1500 * time.Millisecond
	drainTimeout = 6 * time.Second
	slowStore    = 320 * time.Millisecond
	// rewriteDelay is the longest time from the restore of the store to the operator's rewrite.
	rewriteDelay = time.Second
)

// fault is a kind of fault. It returns when its effects are over.
type fault struct {
	name string
	// store is set for faults of the whole store, of which there is one at a time.
	store bool
	run   func(ctx context.Context, f *fleet, rng *rand.Rand) error
}

var faults = []fault{
	{"store-unavailable", true, storeFault("unavailable")},
	{"store-limited", true, storeFault("limited")},
	{"store-reset", true, storeFault("reset")},
	{"store-lost", true, storeFault("lost")},
	{"store-silent", true, storeFault("silent")},
	{"store-truncated", true, storeFault("truncated")},
	{"store-stalled", true, storeFault("stalled")},
	{"store-withheld", true, storeFault("withheld")},
	{"store-slow", true, betweenCommands("store-slow", "delay?delay="+slowStore.String(), "delay?delay=0s")},
	{"store-paused", true, storePaused},
	{"store-restored", true, storeRestored},
	{"store-compacted", false, storeCompacted},
	{"store-refuses-some", false, storeRefusesSome},
	{"cut", false, cutSome},
	{"connections-reset", false, connectionsReset},
	{"connections-silent", false, connectionsSilent},
	{"pause", false, pauseSome},
	{"kill", false, killSome},
	{"terminate", false, terminateSome},
	{"hangup", false, hangupSome},
	{"server-limit", false, limitServers},
	{"server-leaving", false, leaveServers},
}

func faultNames() []string {
	names := make([]string, 0, len(faults))
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// injectFaults begins faults at random until the run's time is over, and returns when all are over.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand) error {
	kinds := slices.DeleteFunc(slices.Clone(faults), func(k fault) bool {
		return len(f.o.kinds) > 0 && !slices.Contains(f.o.kinds, k.name)
	})
	end := time.Now().Add(f.o.duration)
	storeFree := make(chan struct{}, 1)
	var g errgroup.Group
	g.SetLimit(max(1, f.o.faults))
	for time.Now().Before(end) {
		if err := sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultPause)))); err != nil {
			return err
		}
		if f.o.faults == 0 {
			continue
		}
		k, seed := kinds[rng.IntN(len(kinds))], rng.Uint64()
		if k.store {
			select {
			case storeFree <- struct{}{}:
			default:
				continue
			}
		}
		g.Go(func() error {
			if k.store {
				defer func() { <-storeFree }()
			}
			return k.run(ctx, f, rand.New(rand.NewPCG(seed, 0)))
		})
	}
	return g.Wait()
}

func faultTime(rng *rand.Rand) time.Duration {
	return minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))
}

// storeFault returns a fault that the admin API of the store injects.
func storeFault(kind string) func(context.Context, *fleet, *rand.Rand) error {
	return betweenCommands("store-"+kind, "fault?kind="+kind, "fault?kind=none")
}

// betweenCommands returns a fault of the whole store that one command begins and another ends.
func betweenCommands(name, begin, end string) func(context.Context, *fleet, *rand.Rand) error {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) error {
		defer f.disrupt(name, nil)()
		if err := f.command(ctx, begin); err != nil {
			return err
		}
		if err := sleep(ctx, faultTime(rng)); err != nil {
			return err
		}
		return f.command(ctx, end)
	}
}

// storePaused stops the process of the store: its connections stay open and nothing responds.
func storePaused(ctx context.Context, f *fleet, rng *rand.Rand) error {
	defer f.disrupt("store-paused", nil)()
	if err := f.store.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := sleep(ctx, faultTime(rng))
	if cont := f.store.Signal(syscall.SIGCONT); cont != nil {
		return cont
	}
	return err
}

// storeRestored brings the store back from a copy that is some seconds old. The operator writes its
// newest configuration again soon after.
func storeRestored(ctx context.Context, f *fleet, rng *rand.Rand) error {
	if err := f.command(ctx, "backup"); err != nil {
		return err
	}
	if err := sleep(ctx, faultTime(rng)); err != nil {
		return err
	}
	defer f.disrupt("store-restored", nil)()
	if err := f.command(ctx, "restore"); err != nil {
		return err
	}
	if err := sleep(ctx, time.Duration(rng.Int64N(int64(rewriteDelay)))); err != nil {
		return err
	}
	return f.operator.rewrite(ctx)
}

// storeCompacted drops the history of the operator's records, again and again.
func storeCompacted(ctx context.Context, f *fleet, rng *rand.Rand) error {
	defer f.disturb("store-compacted", nil)()
	for end := time.Now().Add(faultTime(rng)); time.Now().Before(end); {
		if err := f.command(ctx, "compact"); err != nil {
			return err
		}
		if err := sleep(ctx, time.Duration(rng.Int64N(int64(500*time.Millisecond)))); err != nil {
			return err
		}
	}
	return nil
}

// storeRefusesSome makes the store refuse some hosts while it serves the others and the operator.
func storeRefusesSome(ctx context.Context, f *fleet, rng *rand.Rand) error {
	kind := []string{"unavailable", "limited", "reset", "silent"}[rng.IntN(4)]
	set := func(h *host, kind string) error {
		return f.command(ctx, "fault?kind="+kind+"&ip="+url.QueryEscape(h.storeIP))
	}
	chosen := f.drawHosts(rng)
	for _, h := range chosen {
		defer f.disrupt("store-refuses-"+kind, h)()
		if err := set(h, kind); err != nil {
			return err
		}
	}
	if err := sleep(ctx, faultTime(rng)); err != nil {
		return err
	}
	for _, h := range chosen {
		if err := set(h, "none"); err != nil {
			return err
		}
	}
	return nil
}

// drawHosts draws one host, the hosts of a zone, a third of all, or all.
func (f *fleet) drawHosts(rng *rand.Rand) []*host {
	order := rng.Perm(len(f.hosts))
	first := f.hosts[order[0]]
	switch rng.IntN(8) {
	case 0, 1:
		return slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h.zone != first.zone })
	case 2, 3:
		var some []*host
		for _, i := range order[:(len(order)+2)/3] {
			some = append(some, f.hosts[i])
		}
		return some
	case 4:
		return slices.Clone(f.hosts)
	}
	return []*host{first}
}

// part is a part of a host that one fault at a time uses: it returns the mark for that.
type part func(*host) (taken *bool)

func daemonOf(h *host) *bool { return &h.taken }

func serverOf(h *host) *bool { return &h.server.taken }

// take reserves the parts of hosts that no other fault has reserved, and returns these hosts.
func (f *fleet) take(p part, hosts []*host) []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var taken []*host
	for _, h := range hosts {
		if mark := p(h); !*mark {
			*mark = true
			taken = append(taken, h)
		}
	}
	return taken
}

func (f *fleet) release(p part, hosts []*host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hosts {
		*p(h) = false
	}
}

func pauseSome(ctx context.Context, f *fleet, rng *rand.Rand) error {
	chosen := f.take(daemonOf, f.drawHosts(rng))
	defer f.release(daemonOf, chosen)
	for _, h := range chosen {
		defer f.disrupt("pause", h)()
		f.signal(h, syscall.SIGSTOP)
	}
	err := sleep(ctx, faultTime(rng))
	for _, h := range chosen {
		f.signal(h, syscall.SIGCONT)
	}
	return err
}

func killSome(ctx context.Context, f *fleet, rng *rand.Rand) error {
	chosen := f.take(daemonOf, f.drawHosts(rng))
	defer f.release(daemonOf, chosen)
	for _, h := range chosen {
		defer f.disrupt("kill", h)()
		h.daemon.Kill()
	}
	if err := sleep(ctx, time.Duration(rng.Int64N(int64(restartDelay)))); err != nil {
		return err
	}
	for _, h := range chosen {
		if err := f.startDaemon(h, false); err != nil {
			return err
		}
	}
	return nil
}

// terminateSome restarts daemons as planned, one after the other.
func terminateSome(ctx context.Context, f *fleet, rng *rand.Rand) error {
	chosen := f.take(daemonOf, f.drawHosts(rng))
	defer f.release(daemonOf, chosen)
	for _, h := range chosen {
		if err := f.terminate(ctx, h, time.Duration(rng.Int64N(int64(restartDelay)))); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) terminate(ctx context.Context, h *host, delay time.Duration) error {
	defer f.disrupt("terminate", h)()
	f.signal(h, syscall.SIGTERM)
	wait, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := h.daemon.Wait(wait); err != nil && h.daemon.Running() {
		h.daemon.Kill()
	}
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	return f.startDaemon(h, false)
}

// hangupSome makes daemons read their settings again, which excuses nothing.
func hangupSome(_ context.Context, f *fleet, rng *rand.Rand) error {
	for _, h := range f.drawHosts(rng) {
		defer f.disturb("hangup", h)()
		f.signal(h, syscall.SIGHUP)
	}
	return nil
}

// The ways in which a host can be cut off from others.
const (
	cutBoth = iota
	cutIn
	cutOut
)

// cutSome cuts hosts off from all others, both ways or one way. They reach the store all the while,
// so this excuses nothing there.
func cutSome(ctx context.Context, f *fleet, rng *rand.Rand) error {
	chosen := f.drawHosts(rng)
	way := rng.IntN(3)
	for _, h := range chosen {
		defer f.disturb([]string{cutBoth: "cut", cutIn: "cut-in", cutOut: "cut-out"}[way], h)()
		for _, other := range f.hosts {
			if way != cutIn {
				f.network.CutWay(h.name, other.name)
			}
			if way != cutOut {
				f.network.CutWay(other.name, h.name)
			}
		}
	}
	err := sleep(ctx, faultTime(rng))
	f.network.Heal()
	return err
}

// connectionsReset breaks all connections between daemons.
func connectionsReset(_ context.Context, f *fleet, _ *rand.Rand) error {
	defer f.disrupt("connections-reset", nil)()
	f.network.Reset()
	return nil
}

// connectionsSilent makes all open connections between daemons lose what is sent on them.
func connectionsSilent(_ context.Context, f *fleet, _ *rand.Rand) error {
	defer f.disrupt("connections-silent", nil)()
	f.network.Forget()
	return nil
}
