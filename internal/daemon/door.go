package daemon

import (
	"net"
	"sync"
)

// door is a listener that can be shut without ending the server that accepts
// from it: the connections that it let in are still served.
type door struct {
	net.Listener
	shutOnce, closeOnce sync.Once
	shut, closed        chan struct{}
}

func newDoor(ln net.Listener) *door {
	return &door{Listener: ln, shut: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. Once the door is shut it waits for Close.
func (d *door) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-d.shut:
		<-d.closed
	default:
	}
	return nil, err
}

// Shut lets in no more connections.
func (d *door) Shut() {
	d.shutOnce.Do(func() {
		close(d.shut)
		_ = d.Listener.Close()
	})
}

// Close implements net.Listener.
func (d *door) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return d.Listener.Close()
}
