// Package relay passes TCP bytes between two ends of a test and can fail as
// networks do: go silent without closing, cut one direction only, forget the
// connections that are open while new ones work, and heal.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"
)

// Direction is one of the two ways through a relay.
type Direction uint8

// The directions.
const (
	// ToTarget goes from whoever connected to the target.
	ToTarget Direction = iota
	// FromTarget goes the other way.
	FromTarget

	directions
)

// Mode is what happens to bytes in one direction. Neither end is told: no mode
// closes a connection.
type Mode uint8

// The modes.
const (
	// Pass delivers.
	Pass Mode = iota
	// Silent keeps bytes back and delivers them once the mode is Pass again.
	Silent
	// Drop loses bytes. A connection that has lost some never delivers again
	// in that direction, since what follows a gap is no stream any more.
	Drop
)

const (
	bufferBytes = 32 << 10
	dialTimeout = 5 * time.Second
)

// Relay accepts connections and joins each to one of its own to the target. It
// is safe for concurrent use.
type Relay struct {
	ln   net.Listener
	dial func(context.Context) (net.Conn, error)
	t    tomb.Tomb

	mu    sync.Mutex
	modes [directions]Mode
	links map[*link]struct{}
	// cutAfter is how many bytes from the target are still delivered before a
	// connection is cut; negative for no cut.
	cutAfter int
	// changed is closed when a mode changes.
	changed chan struct{}
}

// Listen starts a relay on a free loopback port to the address of target.
func Listen(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return New(ln, func(ctx context.Context) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		return d.DialContext(ctx, "tcp", target)
	}), nil
}

// New starts a relay from ln to the connections that dial returns.
func New(ln net.Listener, dial func(context.Context) (net.Conn, error)) *Relay {
	r := &Relay{ln: ln, dial: dial, links: map[*link]struct{}{}, cutAfter: noCut, changed: make(chan struct{})}
	r.t.Go(r.accept)
	return r
}

// Addr returns the address to connect to.
func (r *Relay) Addr() net.Addr { return r.ln.Addr() }

// SetMode sets what happens to bytes in one direction, on open connections and
// on new ones.
func (r *Relay) SetMode(d Direction, m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[d] = m
	r.wake()
}

// ForgetOpen makes the open connections lose everything from now on, for good,
// while new ones work: what a middlebox does that has lost its table.
func (r *Relay) ForgetOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.lost = [directions]bool{true, true}
	}
	r.wake()
}

// noCut lets all bytes pass.
const noCut = -1

// CutAfter closes one connection, the one that delivers the last of so many more
// bytes from the target. An end that read them has a part of what was sent.
func (r *Relay) CutAfter(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAfter = bytes
}

// allowed returns how many of n bytes are delivered; cut says that the connection
// ends behind them.
func (r *Relay) allowed(n int) (deliver int, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.cutAfter == noCut:
		return n, false
	case n < r.cutAfter:
		r.cutAfter -= n
		return n, false
	}
	deliver = r.cutAfter
	r.cutAfter = noCut
	return deliver, true
}

// Connections returns the number of open connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	r.t.Kill(nil)
	err := r.ln.Close()
	r.mu.Lock()
	for l := range r.links {
		l.close()
	}
	r.mu.Unlock()
	return errors.CombineErrors(r.t.Wait(), err)
}

func (r *Relay) accept() error {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			if !r.t.Alive() {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		r.t.Go(func() error {
			r.join(conn)
			return nil
		})
	}
}

// join connects to the target and passes bytes until both directions end.
func (r *Relay) join(caller net.Conn) {
	target, err := r.dial(r.t.Context(context.Background()))
	if err != nil {
		_ = caller.Close()
		return
	}
	l := &link{relay: r, caller: caller, target: target}
	defer l.close()
	if !r.add(l) {
		return
	}
	defer r.remove(l)
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(ToTarget, target, caller) })
	wg.Go(func() { l.pump(FromTarget, caller, target) })
	wg.Wait()
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.t.Alive() {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// link is one connection through the relay.
type link struct {
	relay          *Relay
	caller, target net.Conn
	// lost is set for a direction that has lost bytes; guarded by the relay's
	// lock.
	lost [directions]bool
}

func (l *link) close() {
	_ = l.caller.Close()
	_ = l.target.Close()
}

// pump passes bytes one way until src ends. The end itself is passed on like a
// byte: an end that is cut off does not see it.
func (l *link) pump(d Direction, dst, src net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		deliver := l.await(d)
		if n > 0 && deliver && !l.deliver(d, dst, buf[:n]) {
			l.close()
			return
		}
		if err == nil {
			continue
		}
		if deliver {
			l.end(dst, err)
		}
		return
	}
}

// deliver passes bytes on and reports whether the connection goes on behind them.
func (l *link) deliver(d Direction, dst net.Conn, p []byte) bool {
	n, cut := len(p), false
	if d == FromTarget {
		n, cut = l.relay.allowed(n)
	}
	_, err := dst.Write(p[:n])
	return err == nil && !cut
}

// end passes on how a direction ended.
func (l *link) end(dst net.Conn, err error) {
	half, ok := dst.(interface{ CloseWrite() error })
	if ok && errors.Is(err, io.EOF) {
		_ = half.CloseWrite()
		return
	}
	l.close()
}

// await blocks while the direction is silent and reports whether to deliver.
func (l *link) await(d Direction) bool {
	for {
		deliver, changed := l.decide(d)
		if changed == nil {
			return deliver
		}
		select {
		case <-changed:
		case <-l.relay.t.Dying():
			return false
		}
	}
}

// decide returns a channel to wait for where the direction is silent.
func (l *link) decide(d Direction) (deliver bool, changed <-chan struct{}) {
	r := l.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.modes[d] == Drop {
		l.lost[d] = true
	}
	switch {
	case l.lost[d]:
		return false, nil
	case r.modes[d] == Silent:
		return false, r.changed
	}
	return true, nil
}
