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

// PacketConn sends and receives datagrams; *net.UDPConn is one. It is safe for
// concurrent use, and Close ends a read in progress.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Syncer carries one full-table exchange to the daemon at addr, which answers
// with its Membership.HandleSync.
type Syncer interface {
	Sync(ctx context.Context, addr netip.AddrPort, table *memberpb.Table) (*memberpb.Table, error)
}

// Options holds what a Membership is told. Host, Boot, PeerAddr, Packets and
// Sync have no default.
type Options struct {
	Host string
	// Boot is random for each life of the process and not 0.
	Boot             uint64
	AvailabilityZone string
	Region           string
	// LinkMbps is the bandwidth of this host's link in Mbit/s, 0 where it is not
	// stated.
	LinkMbps float32
	// PeerAddr is where the other daemons reach this one, by UDP and TCP.
	PeerAddr   netip.AddrPort
	CallerAddr netip.AddrPort

	// ProbeInterval is the time between two probes. A dead member is first
	// probed after one interval on average, whatever the size of the fleet.
	ProbeInterval time.Duration
	// ProbeTimeout is how long the target may take before others are asked to
	// probe it; they have the rest of the interval.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a member stays Suspect before it is Dead.
	SuspicionTimeout time.Duration
	// PartitionTimeout replaces SuspicionTimeout while a large share of a zone or
	// region is Suspect, or while this daemon's own probes find nobody: it
	// bounds how long a cut may last before the other side is Dead.
	PartitionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip while there are
	// updates to pass on.
	GossipInterval time.Duration
	// HealInterval is the mean time between two attempts to reach a Dead
	// member or a contact that is not in the table.
	HealInterval time.Duration
	// TombstoneRetention is how long Dead and Left members are remembered. It
	// must exceed the longest pause of a process that is then woken: what such
	// a process still believes alive is told dead by the others' tombstones.
	TombstoneRetention time.Duration
	// FanOut is how many members one round of gossip goes to.
	FanOut int
	// IndirectProbes is how many members are asked to probe a silent one.
	IndirectProbes int
	// RetransmitMult times the decimal logarithm of the fleet's size is how
	// often one update is passed on by each daemon.
	RetransmitMult int
	// MaxMembers bounds the table, tombstones included.
	MaxMembers int
	// FullSyncsPerSecond bounds how often most of the table is sent out; others
	// who ask are told whom to ask instead.
	FullSyncsPerSecond int

	Packets PacketConn
	Sync    Syncer
	Meter   Meter
	Logger  *slog.Logger
	// Now is a clock with monotonic readings.
	Now func() time.Time
}

// DefaultOptions suit a fleet of about a thousand daemons in several regions.
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

// check returns what is wrong with the options, nil if nothing is.
func (o *Options) check() error {
	switch {
	case o.Host == "" || len(o.Host) > maxNameBytes:
		return errors.Newf("host must have 1 to %d bytes", maxNameBytes)
	case len(o.AvailabilityZone) > maxNameBytes || len(o.Region) > maxNameBytes:
		return errors.Newf("availability zone and region must have at most %d bytes", maxNameBytes)
	case !utf8.ValidString(o.Host + o.AvailabilityZone + o.Region):
		return errors.New("host, availability zone and region must be UTF-8")
	case o.Boot == 0:
		return errors.New("boot must not be 0")
	case !o.PeerAddr.IsValid():
		return errors.New("peer address is missing")
	case o.Packets == nil || o.Sync == nil:
		return errors.New("packets and sync must be given")
	case o.ProbeTimeout <= 0 || o.ProbeInterval <= o.ProbeTimeout:
		return errors.New("probe interval must exceed the probe timeout")
	case o.SuspicionTimeout <= 0 || o.PartitionTimeout < o.SuspicionTimeout:
		return errors.New("hold timeout must be at least the suspicion timeout")
	case o.GossipInterval <= 0 || o.HealInterval <= 0 || o.TombstoneRetention <= 0:
		return errors.New("intervals must be above 0")
	case min(o.FanOut, o.IndirectProbes, o.RetransmitMult, o.MaxMembers, o.FullSyncsPerSecond) <= 0:
		return errors.New("counts must be above 0")
	}
	return nil
}

// PacketKind is what a datagram is for.
type PacketKind string

// The kinds.
const (
	PacketPing        PacketKind = "ping"
	PacketPingRequest PacketKind = "ping_request"
	PacketAck         PacketKind = "ack"
	PacketNack        PacketKind = "nack"
	PacketGossip      PacketKind = "gossip"
)

// RejectReason is why input from another daemon was refused.
type RejectReason string

// The reasons.
const (
	RejectLarge     RejectReason = "too_large"
	RejectMalformed RejectReason = "malformed"
	RejectVersion   RejectReason = "unknown_version"
	RejectInvalid   RejectReason = "invalid_field"
	// RejectTarget counts pings for another host, which had the address before.
	RejectTarget RejectReason = "other_target"
	// RejectFull counts members for which the table has no room.
	RejectFull RejectReason = "table_full"
	// RejectBusy counts full-table exchanges that were put off.
	RejectBusy RejectReason = "busy"
)

// Meter counts what the protocol does. Implementations are safe for concurrent
// use.
type Meter interface {
	// Sent counts a datagram; across is whether it went to another availability zone.
	Sent(kind PacketKind, across bool, bytes int)
	Received(kind PacketKind, bytes int)
	Rejected(reason RejectReason)
	// Probed counts ended probes.
	Probed(answered bool)
	// Paused counts the times that this process was found to have been halted.
	Paused(d time.Duration)
	// Synced counts the members taken in and handed out in full-table
	// exchanges.
	Synced(in, out int)
}

// NoMeter counts nothing.
type NoMeter struct{}

// Sent does nothing.
func (NoMeter) Sent(PacketKind, bool, int) {}

// Received does nothing.
func (NoMeter) Received(PacketKind, int) {}

// Rejected does nothing.
func (NoMeter) Rejected(RejectReason) {}

// Probed does nothing.
func (NoMeter) Probed(bool) {}

// Paused does nothing.
func (NoMeter) Paused(time.Duration) {}

// Synced does nothing.
func (NoMeter) Synced(int, int) {}
