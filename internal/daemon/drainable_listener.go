package daemon

import (
	"net"
	"sync"
)

// drainableListener is a listener that can stop accepting connections without ending the server
// that accepts from it: the server continues to serve the connections accepted before.
type drainableListener struct {
	net.Listener
	stopOnce, closeOnce sync.Once
	stopped, closed     chan struct{}
}

func newDrainableListener(ln net.Listener) *drainableListener {
	return &drainableListener{Listener: ln, stopped: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After StopAccepting it blocks until Close is called.
func (d *drainableListener) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-d.stopped:
		<-d.closed
	default:
	}
	return nil, err
}

// StopAccepting closes the wrapped listener, so that no new connections are accepted.
func (d *drainableListener) StopAccepting() {
	d.stopOnce.Do(func() {
		close(d.stopped)
		_ = d.Listener.Close()
	})
}

// Close implements net.Listener. It unblocks an Accept that waits after StopAccepting.
func (d *drainableListener) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return d.Listener.Close()
}
