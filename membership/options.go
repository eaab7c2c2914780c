package membership

import (
	"context"
	"log/slog"
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/memberpb"
)

// PacketConn sends and receives datagrams; *net.UDPConn implements it. It must be safe for
// concurrent use, and Close must unblock a pending read.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Syncer sends one message of a full-table exchange to the daemon at addr and returns the answer
// of that daemon's Membership.HandleSync.
type Syncer interface {
	Sync(ctx context.Context, addr netip.AddrPort, table *memberpb.Table) (*memberpb.Table, error)
}

// Options configures a Membership. Host, Boot, PeerAddr, Packets and Sync are required and have
// no default.
type Options struct {
	Host string
	// Boot is the random identifier of this process. It must not be 0.
	Boot             uint64
	AvailabilityZone string
	Region           string
	// LinkMbps is the bandwidth of this host's link in Mbit/s, 0 if it is not configured.
	LinkMbps float32
	// PeerAddr is where other daemons reach this one over UDP and TCP, CallerAddr where callers
	// reach it.
	PeerAddr   netip.AddrPort
	CallerAddr netip.AddrPort

	// ProbeInterval is the time between two probes by one daemon. A dead member is first probed
	// after one interval on average, regardless of the size of the fleet.
	ProbeInterval time.Duration
	// ProbeTimeout is how long the target may take to answer before other members are asked to
	// probe it. The indirect probes have the rest of ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a member stays Suspect before it is declared Dead.
	SuspicionTimeout time.Duration
	// PartitionTimeout replaces SuspicionTimeout while a large share of a zone or region is
	// Suspect, or while this daemon's own probes reach no member. It bounds how long a network
	// partition may last before the members on the other side are declared Dead.
	PartitionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip while updates are queued.
	GossipInterval time.Duration
	// HealInterval is the mean time between two attempts to reach a Dead member or a contact
	// that is not in the table.
	HealInterval time.Duration
	// TombstoneRetention is how long Dead and Left members are kept. It must exceed the longest
	// time for which a process may be paused: the tombstones of the other daemons correct the
	// members that a resumed process still considers alive.
	TombstoneRetention time.Duration
	// FanOut is the number of members that one round of gossip is sent to.
	FanOut int
	// IndirectProbes is the number of members that are asked to probe a target that does not
	// answer.
	IndirectProbes int
	// RetransmitMult times the decimal logarithm of the fleet size is how many times each daemon
	// sends an update.
	RetransmitMult int
	// MaxMembers bounds the number of entries in the table, including tombstones.
	MaxMembers int
	// FullSyncsPerSecond bounds the rate of answers that contain most of the table. Daemons
	// whose requests exceed it are referred to other members.
	FullSyncsPerSecond int

	Packets PacketConn
	Sync    Syncer
	Meter   Meter
	Logger  *slog.Logger
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
}

// DefaultOptions returns options for a fleet of about a thousand daemons in several regions.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:      time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		SuspicionTimeout:   4 * time.Second,
		PartitionTimeout:   10 * time.Minute,
		GossipInterval:     200 * time.Millisecond,
		HealInterval:       30 * time.Second,
		TombstoneRetention: 24 * time.Hour,
		FanOut:             3,
		IndirectProbes:     3,
		RetransmitMult:     5,
		MaxMembers:         8192,
		FullSyncsPerSecond: 10,
		Meter:              NoMeter{},
		Logger:             slog.New(slog.DiscardHandler),
		Now:                time.Now,
	}
}

// check returns an error for the first invalid option, or nil if all are valid.
func (o *Options) check() error {
	switch {
	case o.Host == "" || len(o.Host) > maxNameBytes:
		return errors.Newf("host name must have 1 to %d bytes", maxNameBytes)
	case len(o.AvailabilityZone) > maxNameBytes || len(o.Region) > maxNameBytes:
		return errors.Newf("availability zone and region must have at most %d bytes", maxNameBytes)
	case !utf8.ValidString(o.Host + o.AvailabilityZone + o.Region):
		return errors.New("host name, availability zone and region must be valid UTF-8")
	case o.Boot == 0:
		return errors.New("boot must not be 0")
	case !o.PeerAddr.IsValid():
		return errors.New("peer address must be set")
	case o.Packets == nil || o.Sync == nil:
		return errors.New("packets and sync must be set")
	case o.ProbeTimeout <= 0 || o.ProbeInterval <= o.ProbeTimeout:
		return errors.New("probe timeout must be positive and below the probe interval")
	case o.SuspicionTimeout <= 0 || o.PartitionTimeout < o.SuspicionTimeout:
		return errors.New("suspicion timeout must be positive and at most the partition timeout")
	case o.GossipInterval <= 0 || o.HealInterval <= 0 || o.TombstoneRetention <= 0:
		return errors.New("gossip interval, heal interval and tombstone retention must be positive")
	case min(o.FanOut, o.IndirectProbes, o.RetransmitMult, o.MaxMembers, o.FullSyncsPerSecond) <= 0:
		return errors.New("fan-out, indirect probes, retransmit multiplier, member limit and full sync rate must be positive")
	}
	return nil
}

// PacketKind is the purpose of a datagram.
type PacketKind string

// Values of PacketKind. A PacketGossip only carries updates.
const (
	PacketPing        PacketKind = "ping"
	PacketPingRequest PacketKind = "ping_request"
	PacketAck         PacketKind = "ack"
	PacketNack        PacketKind = "nack"
	PacketGossip      PacketKind = "gossip"
)

// RejectReason is the reason why input from another daemon was rejected.
type RejectReason string

// Values of RejectReason.
const (
	RejectLarge     RejectReason = "too_large"
	RejectMalformed RejectReason = "malformed"
	RejectVersion   RejectReason = "unknown_version"
	RejectInvalid   RejectReason = "invalid_field"
	// RejectTarget applies to pings for another host, which had this address before.
	RejectTarget RejectReason = "other_target"
	// RejectFull applies to members that exceed MaxMembers.
	RejectFull RejectReason = "table_full"
	// RejectBusy applies to full-table exchanges that exceed FullSyncsPerSecond.
	RejectBusy RejectReason = "busy"
)

// Meter records metrics of the protocol. Implementations must be safe for concurrent use.
type Meter interface {
	// Sent counts a datagram; crossZone reports whether it went to another availability zone.
	Sent(kind PacketKind, crossZone bool, bytes int)
	Received(kind PacketKind, bytes int)
	Rejected(reason RejectReason)
	// Probed counts a completed probe and whether it was answered.
	Probed(answered bool)
	// Paused counts a detected pause of this process, which lasted d.
	Paused(d time.Duration)
	// Synced counts the members received and sent in full-table exchanges.
	Synced(in, out int)
}

// NoMeter is a Meter that discards all metrics.
type NoMeter struct{}

// Sent implements Meter.
func (NoMeter) Sent(PacketKind, bool, int) {}

// Received implements Meter.
func (NoMeter) Received(PacketKind, int) {}

// Rejected implements Meter.
func (NoMeter) Rejected(RejectReason) {}

// Probed implements Meter.
func (NoMeter) Probed(bool) {}

// Paused implements Meter.
func (NoMeter) Paused(time.Duration) {}

// Synced implements Meter.
func (NoMeter) Synced(int, int) {}
