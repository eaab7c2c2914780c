// Package peer carries messages between daemons: one yamux session for each pair
// that talks, one stream for each exchange, protobuf messages with a length
// before each.
package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// protocolVersion of the Head that opens each stream.
	protocolVersion = 1
	// MaxMessageBytes bounds one message. The largest is a state or a batch of
	// records on a pull.
	MaxMessageBytes = 16 << 20
	// MaxHeadBytes bounds the message that opens a stream, before anything is
	// known of the sender's intent.
	MaxHeadBytes = 64
	// ChunkBytes is how much of a body is sent in one message. It keeps one
	// body from holding the session for long.
	ChunkBytes = 32 << 10

	readBufferBytes = 4 << 10
)

// ErrMessageTooLarge means that a peer announced a message above its bound.
var ErrMessageTooLarge = errors.New("peer message too large")

// ErrMalformed means that a peer's bytes are not the message expected.
var ErrMalformed = errors.New("peer message malformed")

var sendBuffers = sync.Pool{New: func() any { return new(make([]byte, 0, readBufferBytes)) }}

// Stream is one exchange. One goroutine may read while another writes.
type Stream struct {
	conn  net.Conn
	r     *bufio.Reader
	kind  peerpb.Kind
	meter Meter
	// remote tells where the other end is.
	remote *remote
	// queued messages go out with the next one sent.
	queued []byte
}

func newStream(conn net.Conn, kind peerpb.Kind, meter Meter, remote *remote) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, readBufferBytes), kind: kind, meter: meter, remote: remote}
}

// Kind returns what the exchange is about.
func (s *Stream) Kind() peerpb.Kind { return s.kind }

// Send writes one message, with those queued before it.
func (s *Stream) Send(m proto.Message) error {
	p := sendBuffers.Get().(*[]byte)
	defer sendBuffers.Put(p)
	b := append((*p)[:0], s.queued...)
	s.queued = nil
	b, err := appendMessage(b, m)
	if err != nil {
		return err
	}
	// Oversized buffers are left to the collector, so that one large state
	// does not stay in the pool for good.
	if cap(b) <= 2*ChunkBytes {
		*p = b
	}
	n, err := s.conn.Write(b)
	s.meter.Sent(s.kind, s.remote.locality(), n)
	return err
}

// Queue holds a message back until the next Send, so that both go out in one
// packet.
func (s *Stream) Queue(m proto.Message) error {
	b, err := appendMessage(s.queued, m)
	if err == nil {
		s.queued = b
	}
	return err
}

func appendMessage(b []byte, m proto.Message) ([]byte, error) {
	b = protowire.AppendVarint(b, uint64(proto.Size(m)))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	return b, errors.Wrap(err, "encode peer message")
}

// Recv reads one message of at most MaxMessageBytes. The error is io.EOF where
// the peer ended the stream between messages.
func (s *Stream) Recv(m proto.Message) error { return s.RecvMax(m, MaxMessageBytes) }

// RecvMax is Recv with a bound of its own, in bytes.
func (s *Stream) RecvMax(m proto.Message, limit int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(s.r, m)
	if err == nil {
		s.meter.Received(s.kind, s.remote.locality(), proto.Size(m)+1)
		return nil
	}
	return classifyRecvError(err)
}

// classifyRecvError tells what the peer did wrong from what the connection did.
func classifyRecvError(err error) error {
	var tooLarge *protodelim.SizeTooLargeError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		return mark(err, ErrMessageTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return err
	case errors.Is(err, proto.Error):
		return mark(err, ErrMalformed)
	}
	return err
}

// Buffered returns how many bytes have arrived that no message has been read of yet.
// There may be more behind them.
func (s *Stream) Buffered() int { return s.r.Buffered() }

// SetDeadline bounds all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// SetReadDeadline bounds reads.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetWriteDeadline bounds writes.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// BindReads makes reads fail once ctx is done; writes still work, so that the
// peer can be told. The returned function undoes the binding.
func (s *Stream) BindReads(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) })
}

// BindContext makes reads and writes fail once ctx is done. The returned
// function undoes the binding.
func (s *Stream) BindContext(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) })
}

// Close ends the stream.
func (s *Stream) Close() error { return s.conn.Close() }

// Meter counts the bytes of messages by kind. Implementations are safe for
// concurrent use.
type Meter interface {
	Sent(kind peerpb.Kind, place Locality, bytes int)
	Received(kind peerpb.Kind, place Locality, bytes int)
	// Rejected counts input that was refused.
	Rejected(reason RejectReason)
}

// RejectReason is why input from a peer was refused.
type RejectReason string

// The reasons.
const (
	RejectHead     RejectReason = "bad_head"
	RejectKind     RejectReason = "unknown_kind"
	RejectLarge    RejectReason = "too_large"
	RejectSlow     RejectReason = "too_slow"
	RejectSessions RejectReason = "too_many_sessions"
	RejectStreams  RejectReason = "too_many_streams"
	RejectSession  RejectReason = "session_broken"
	// RejectSilent counts sessions given up since a ping was not answered.
	RejectSilent RejectReason = "session_silent"
)

// NoMeter counts nothing.
type NoMeter struct{}

// Sent does nothing.
func (NoMeter) Sent(peerpb.Kind, Locality, int) {}

// Received does nothing.
func (NoMeter) Received(peerpb.Kind, Locality, int) {}

// Rejected does nothing.
func (NoMeter) Rejected(RejectReason) {}
