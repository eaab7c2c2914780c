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

// upload is the request body on its way to the backend server. Once the body has been received
// completely, upload watches the stream for a cancellation.
type upload struct {
	st  *peer.Stream
	src *body.Reader
	// onCanceled is called when the caller disconnects, onStreamLost when the stream ends
	// without a cancellation.
	onCanceled, onStreamLost func()

	// watching is set when the watch starts, and watchDone is closed when it ends.
	watching  atomic.Bool
	watchDone chan struct{}
	// buffered reads a body that was received before its call queued. It is nil for other
	// bodies.
	buffered io.Reader
	// firstChunk is closed when the first chunk of a requested body has been received, or the
	// stream has ended. It is nil for a body that is sent without a request.
	firstChunk chan struct{}
}

func newUpload(st *peer.Stream, onCanceled, onStreamLost func()) *upload {
	return &upload{
		st: st, src: body.NewReader(st), onCanceled: onCanceled, onStreamLost: onStreamLost,
		watchDone: make(chan struct{}),
	}
}

// prefetch receives the first chunk of the body, so that a small body is available before the
// call queues and a caller that disconnects meanwhile is detected.
func (u *upload) prefetch() error {
	if err := u.src.Fill(); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "read request body")
	}
	if u.src.Complete() && u.st.Buffered() > 0 {
		// Only a cancellation can follow a body. On a link that stalls both arrive
		// together, and the call would be sent to the backend server before the watch
		// has read the cancellation.
		return errkind.New(errkind.Canceled, "the caller disconnected")
	}
	u.watchIfComplete()
	return nil
}

// awaitFirstChunk receives, in the background, the first chunk of a body that the sending
// daemon sends on request. Until the body is requested, the stream can only end, which means
// that the caller disconnected while the call waited for its slot.
func (u *upload) awaitFirstChunk() {
	u.firstChunk = make(chan struct{})
	go func() {
		defer close(u.firstChunk)
		if u.src.Fill() != nil {
			u.onCanceled()
		}
	}()
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.buffered != nil {
		return u.buffered.Read(p)
	}
	if u.firstChunk != nil {
		<-u.firstChunk
	}
	n, err := u.src.Read(p)
	u.watchIfComplete()
	return n, err
}

// watchIfComplete starts the watch, once, when the body has been received completely.
func (u *upload) watchIfComplete() {
	if u.src.Complete() && u.watching.CompareAndSwap(false, true) {
		go u.watch()
	}
}

// watch waits for what follows the body: a chunk that reports the cancellation, or the end of
// the stream.
func (u *upload) watch() {
	defer close(u.watchDone)
	var c peerpb.Chunk
	err := u.st.RecvMax(&c, peer.MaxHeadBytes)
	if err == nil && c.GetErrorKind() == string(errkind.Canceled) {
		u.onCanceled()
		return
	}
	u.onStreamLost()
}

// stop ends the receipt of the first chunk and the watch before the stream is closed.
func (u *upload) stop() {
	_ = u.st.SetReadDeadline(time.Unix(1, 0))
	if u.firstChunk != nil {
		<-u.firstChunk
	}
	if u.watching.Load() {
		<-u.watchDone
	}
}
