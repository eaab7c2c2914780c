// Package peer carries messages between daemons. Each pair of daemons that communicate shares a
// yamux session, each exchange uses a stream of its own, and messages are length-prefixed
// protobuf.
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
	// protocolVersion is the version in the Head that opens each stream.
	protocolVersion = 1
	// MaxMessageBytes bounds the size of one message. The largest messages carry a whole state or
	// a batch of records in response to a pull.
	MaxMessageBytes = 16 << 20
	// MaxHeadBytes bounds the size of the message that opens a stream, whose kind is still
	// unknown.
	MaxHeadBytes = 64
	// ChunkBytes is the maximum amount of body data in one message. It prevents a single body
	// from occupying the session for long.
	ChunkBytes = 32 << 10

	readBufferBytes = 4 << 10
)

// ErrMessageTooLarge means that the length prefix of a received message exceeds the limit.
var ErrMessageTooLarge = errors.New("peer message too large")

// ErrMalformed means that received data could not be decoded as the expected message.
var ErrMalformed = errors.New("peer message malformed")

var sendBuffers = sync.Pool{New: func() any { return new(make([]byte, 0, readBufferBytes)) }}

// Stream is one exchange with a peer. One goroutine may read while another writes.
type Stream struct {
	conn  net.Conn
	r     *bufio.Reader
	kind  peerpb.Kind
	meter Meter
	// remote is the peer, for its locality.
	remote *remote
	// queued holds encoded messages that are sent together with the next one.
	queued []byte
}

func newStream(conn net.Conn, kind peerpb.Kind, meter Meter, remote *remote) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, readBufferBytes), kind: kind, meter: meter, remote: remote}
}

// Kind returns the kind of the exchange.
func (s *Stream) Kind() peerpb.Kind { return s.kind }

// Send writes one message, preceded by those queued.
func (s *Stream) Send(m proto.Message) error {
	p := sendBuffers.Get().(*[]byte)
	defer sendBuffers.Put(p)
	b := append((*p)[:0], s.queued...)
	s.queued = nil
	b, err := appendMessage(b, m)
	if err != nil {
		return err
	}
	// Do not return oversized buffers to the pool, so that one large state does not stay there
	// permanently.
	if cap(b) <= 2*ChunkBytes {
		*p = b
	}
	n, err := s.conn.Write(b)
	s.meter.Sent(s.kind, s.remote.locality(), n)
	return err
}

// Queue buffers a message until the next Send, so that both are sent in one packet.
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

// Recv reads one message of at most MaxMessageBytes. It returns io.EOF if the peer closed the
// stream between messages.
func (s *Stream) Recv(m proto.Message) error { return s.RecvMax(m, MaxMessageBytes) }

// RecvMax is like Recv with a limit in bytes of its own.
func (s *Stream) RecvMax(m proto.Message, limit int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(s.r, m)
	if err == nil {
		s.meter.Received(s.kind, s.remote.locality(), proto.Size(m)+1)
		return nil
	}
	return classifyRecvError(err)
}

// classifyRecvError marks errors caused by invalid data from the peer and returns connection
// errors unchanged.
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

// Buffered returns the number of received bytes that have not been decoded yet. More may be
// pending on the connection.
func (s *Stream) Buffered() int { return s.r.Buffered() }

// SetDeadline sets the deadline of all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// SetReadDeadline sets the deadline of all reads.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of all writes.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// BindReads makes reads fail once ctx is done. Writes still work, so that an error can be sent to
// the peer. The returned function removes the binding.
func (s *Stream) BindReads(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) })
}

// BindContext makes reads and writes fail once ctx is done. The returned function removes the
// binding.
func (s *Stream) BindContext(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) })
}

// Close closes the stream.
func (s *Stream) Close() error { return s.conn.Close() }

// Meter counts transferred bytes by message kind and locality, and rejected input.
// Implementations are safe for concurrent use.
type Meter interface {
	// Sent adds the size of sent messages.
	Sent(kind peerpb.Kind, locality Locality, bytes int)
	// Received adds the size of a received message.
	Received(kind peerpb.Kind, locality Locality, bytes int)
	// Rejected counts one rejected input.
	Rejected(reason RejectReason)
}

// RejectReason is the reason why input from a peer was rejected. It is a label value in metrics.
type RejectReason string

// Reject reasons.
const (
	RejectHead     RejectReason = "bad_head"
	RejectKind     RejectReason = "unknown_kind"
	RejectLarge    RejectReason = "too_large"
	RejectSlow     RejectReason = "too_slow"
	RejectSessions RejectReason = "too_many_sessions"
	RejectStreams  RejectReason = "too_many_streams"
	RejectSession  RejectReason = "session_broken"
	// RejectSilent counts sessions closed because a ping was not answered.
	RejectSilent RejectReason = "session_silent"
)

// NoMeter is a Meter that counts nothing.
type NoMeter struct{}

// Sent does nothing.
func (NoMeter) Sent(peerpb.Kind, Locality, int) {}

// Received does nothing.
func (NoMeter) Received(peerpb.Kind, Locality, int) {}

// Rejected does nothing.
func (NoMeter) Rejected(RejectReason) {}
