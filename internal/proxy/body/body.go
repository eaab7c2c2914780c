// Package body streams request and answer bodies over peer streams as chunks,
// holding one chunk in memory at a time.
package body

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// ErrAborted means that the sender ended a body early and said so.
var ErrAborted = errors.New("body was cut short by its sender")

// MaxBufferedResponse is the largest answer that a gate, and the daemon that the caller
// reached, take whole before they pass any of it on, in bytes. One that breaks off on its
// way can then be had again: where the caller has a part, only its connection can be cut,
// and the requests behind on it get no answer either.
const MaxBufferedResponse = 64 << 10

// maxChunkMessage bounds one chunk message: its data and the fields around it.
const maxChunkMessage = peer.ChunkBytes + 1024

var chunks = sync.Pool{New: func() any { return new([peer.ChunkBytes]byte) }}

// UnknownLength stands for the length of a body that is not known before its
// end.
const UnknownLength = -1

// Send copies src to the stream and ends it with a last chunk, which a known
// length lets it tell without another read. Where src fails, the other side is
// told that the body was cut, so that it never takes a part for the whole.
func Send(st *peer.Stream, src io.Reader, length int64) error {
	if length == 0 {
		return st.Send(&peerpb.Chunk{Last: true})
	}
	buf := chunks.Get().(*[peer.ChunkBytes]byte)
	defer chunks.Put(buf)
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

// SendAbort ends a body early, giving the kind of error.
func SendAbort(st *peer.Stream, kind errkind.Kind) error {
	return st.Send(&peerpb.Chunk{Last: true, ErrorKind: string(kind)})
}

// Reader reads a body from a stream. It ends with io.EOF after the last chunk,
// with ErrCut where the sender gave up, and with io.ErrUnexpectedEOF where the
// stream ended without a last chunk.
type Reader struct {
	st   *peer.Stream
	rest []byte
	err  error
}

// NewReader reads the body that begins at the stream's next message.
func NewReader(st *peer.Stream) *Reader { return &Reader{st: st} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.next()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Fill waits until a part of the body, or its end, is at hand.
func (r *Reader) Fill() error {
	if len(r.rest) == 0 && r.err == nil {
		r.next()
	}
	if errors.Is(r.err, io.EOF) {
		return nil
	}
	return r.err
}

// Complete reports whether all that is left of the body is at hand, so that
// nothing more will be read from the stream.
func (r *Reader) Complete() bool { return errors.Is(r.err, io.EOF) }

func (r *Reader) next() {
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
		r.rest = c.GetData()
		if c.GetLast() {
			r.err = io.EOF
		}
	}
}
