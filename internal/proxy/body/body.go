// Package body streams request and response bodies over peer streams as a sequence of chunk
// messages. It holds at most one chunk in memory at a time.
package body

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// ErrAborted is returned when the sender aborts a body with an error chunk. The error that
// wraps it names the error kind.
var ErrAborted = errors.New("body was aborted by its sender")

// MaxBufferedResponse is the largest response body, in bytes, that the daemon beside the
// backend server and the daemon that serves the caller receive completely before they forward
// any of it. If the transfer fails before that, the response can be requested again. Once the
// caller has received a part, the daemon can only close the caller's connection, and the
// requests pipelined on that connection get no response either.
const MaxBufferedResponse = 64 << 10

// maxChunkMessage bounds one encoded chunk message, in bytes: its data and 1 KiB for the other
// fields.
const maxChunkMessage = peer.ChunkBytes + 1024

var chunkPool = sync.Pool{New: func() any { return new([peer.ChunkBytes]byte) }}

// UnknownLength is the length of a body whose length is not known before its end.
const UnknownLength = -1

// Send copies src to the stream and marks the final chunk as the last one. If length is known,
// Send finds the end of the body without another read of src. If src fails, Send aborts the
// body, so that the receiver never takes a truncated body for a complete one.
func Send(st *peer.Stream, src io.Reader, length int64) error {
	if length == 0 {
		return st.Send(&peerpb.Chunk{Last: true})
	}
	buf := chunkPool.Get().(*[peer.ChunkBytes]byte)
	defer chunkPool.Put(buf)
	sent := int64(0)
	for {
		n, err := src.Read(buf[:])
		sent += int64(n)
		last := errors.Is(err, io.EOF) || sent == length
		if err != nil && !last {
			return errors.CombineErrors(errors.Wrap(err, "read body"), SendAbort(st, errkind.BackendFailed))
		}
		if n == 0 && !last {
			continue
		}
		if err := st.Send(&peerpb.Chunk{Data: buf[:n], Last: last}); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}

// SendAbort ends a body early and reports the kind of the error to the receiver.
func SendAbort(st *peer.Stream, kind errkind.Kind) error {
	return st.Send(&peerpb.Chunk{Last: true, ErrorKind: string(kind)})
}

// Reader reads a body from a stream. It returns io.EOF after the last chunk, an error that
// wraps ErrAborted if the sender aborts the body, and io.ErrUnexpectedEOF if the stream ends
// without a last chunk.
type Reader struct {
	st       *peer.Stream
	buffered []byte
	err      error
}

// NewReader returns a Reader for the body that begins with the stream's next message.
func NewReader(st *peer.Stream) *Reader { return &Reader{st: st} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.buffered) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.readChunk()
	}
	n := copy(p, r.buffered)
	r.buffered = r.buffered[n:]
	return n, nil
}

// Fill waits until a part of the body, or its end, has been received. At the end of the body it
// returns nil.
func (r *Reader) Fill() error {
	if len(r.buffered) == 0 && r.err == nil {
		r.readChunk()
	}
	if errors.Is(r.err, io.EOF) {
		return nil
	}
	return r.err
}

// Complete reports whether the last chunk has been received, so that no more of the body is
// read from the stream.
func (r *Reader) Complete() bool { return errors.Is(r.err, io.EOF) }

// readChunk receives the next chunk and sets buffered and err.
func (r *Reader) readChunk() {
	var c peerpb.Chunk
	err := r.st.RecvMax(&c, maxChunkMessage)
	switch {
	case errors.Is(err, io.EOF):
		r.err = io.ErrUnexpectedEOF
	case err != nil:
		r.err = err
	case c.GetErrorKind() != "":
		r.err = errors.Wrap(ErrAborted, c.GetErrorKind())
	default:
		r.buffered = c.GetData()
		if c.GetLast() {
			r.err = io.EOF
		}
	}
}
