package inbound

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// upload is the request body on its way to the backend server. Once it has been read
// whole, the stream is watched for the word that the caller went away.
type upload struct {
	st  *peer.Stream
	src *body.Reader
	// canceled is called when the caller went away; linkLost when the stream
	// ended without a word.
	canceled, linkLost func()

	watching atomic.Bool
	watched  chan struct{}
	// whole is a body that was received before its call queued, nil for others.
	whole io.Reader
	// awaited is closed when the first part of a body that was asked for has come;
	// nil for one that comes unasked.
	awaited chan struct{}
}

func newUpload(st *peer.Stream, canceled, linkLost func()) *upload {
	return &upload{
		st: st, src: body.NewReader(st), canceled: canceled, linkLost: linkLost,
		watched: make(chan struct{}),
	}
}

// prefetch reads the first part of the body, so that a small body is at hand
// before the call queues and a caller that goes away meanwhile is noticed.
func (u *upload) prefetch() error {
	if err := u.src.Fill(); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "read request body")
	}
	if u.src.Complete() && u.st.Buffered() > 0 {
		// Nothing follows a body but the word that the caller went away. Over a link
		// that stalls both arrive together, and the call would be on its way to the
		// backend server before the watch has read it.
		return errkind.New(errkind.Canceled, "the caller went away")
	}
	u.watchIfComplete()
	return nil
}

// await watches for the first part of a body that the other daemon sends once it is
// asked. Before that, nothing can come but the end of the stream: the caller went away
// while the call waited for its slot.
func (u *upload) await() {
	u.awaited = make(chan struct{})
	go func() {
		defer close(u.awaited)
		if u.src.Fill() != nil {
			u.canceled()
		}
	}()
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.whole != nil {
		return u.whole.Read(p)
	}
	if u.awaited != nil {
		<-u.awaited
	}
	n, err := u.src.Read(p)
	u.watchIfComplete()
	return n, err
}

// watchIfComplete starts the watch, once, when nothing of the body is left to
// come.
func (u *upload) watchIfComplete() {
	if u.src.Complete() && u.watching.CompareAndSwap(false, true) {
		go u.watch()
	}
}

// watch waits for whatever comes after the body: a chunk that says canceled,
// or the end of the stream.
func (u *upload) watch() {
	defer close(u.watched)
	var c peerpb.Chunk
	err := u.st.RecvMax(&c, peer.MaxHeadBytes)
	if err == nil && c.GetErrorKind() == string(errkind.Canceled) {
		u.canceled()
		return
	}
	u.linkLost()
}

// stop ends the watch before the stream is closed.
func (u *upload) stop() {
	_ = u.st.SetReadDeadline(time.Unix(1, 0))
	if u.awaited != nil {
		<-u.awaited
	}
	if u.watching.Load() {
		<-u.watched
	}
}
