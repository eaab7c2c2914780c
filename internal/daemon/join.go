package daemon

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// joinTimeout bounds a join through one set of contacts. Afterwards the contacts stream is read
	// again.
	joinTimeout = 15 * time.Second
	// rejoinDelay is the initial mean wait between two joins.
	rejoinDelay = 500 * time.Millisecond
	// maxRejoinDelay bounds the mean wait between two joins. A daemon that found no contacts is not
	// necessarily the only one: the platform may have been unavailable when the contacts were read.
	maxRejoinDelay = 3 * time.Second
	// findContactsTimeout bounds a read of the contacts stream.
	findContactsTimeout = 2 * time.Second
	// seedJoinTimeout bounds the join through the seeds, before the contacts stream is read.
	seedJoinTimeout = time.Second
	// directoryQueries is the number of daemons that are queried for the directory's entries in one
	// round, directoryQueryTimeout bounds one query, and directoryQueryInterval is the mean wait
	// between two rounds.
	directoryQueries       = 2
	directoryQueryTimeout  = 500 * time.Millisecond
	directoryQueryInterval = 300 * time.Millisecond
)

// joinFleet joins the other daemons through the contacts in the settings and those in the
// platform's log. If all daemons of a fleet start at once, their contacts know no other daemon yet.
// A daemon that took the empty tables of its contacts for the complete fleet would be alone until
// the next heal interval. Each daemon therefore joins a second time shortly after the first, when
// the contacts are members, and keeps joining as long as it knows no other member.
func (d *Daemon) joinFleet(ctx context.Context) error {
	configured, err := parseContacts(d.settings.Contacts)
	if err != nil {
		return err
	}
	seeds, err := d.seedContacts()
	if err != nil {
		return err
	}
	wait := rejoinDelay
	known := d.contactsFromSeeds(ctx, seeds)
	for joins := 0; ctx.Err() == nil; {
		if len(known) == 0 {
			known = d.withLogContacts(ctx, configured)
		}
		if err := d.joinOnce(ctx, known); err != nil {
			d.logger.Warn("daemon: no contact answers", "error", err)
			known = nil
			continue
		}
		joins++
		d.joinedOnce.Do(func() { close(d.joined) })
		alone := len(d.membership.View().Live()) <= 1
		if joins > 1 && !alone {
			return nil
		}
		if alone {
			// Other daemons may have put their addresses into the log in the meantime.
			known = nil
		}
		loop.SleepJittered(ctx, wait)
		if joins > 1 {
			wait = min(2*wait, maxRejoinDelay)
		}
	}
	return nil
}

func (d *Daemon) joinOnce(ctx context.Context, contacts []membership.Contact) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := d.membership.Join(ctx, contacts)
	return err
}

// withLogContacts returns the contacts found in the platform's log, followed by the configured
// ones.
func (d *Daemon) withLogContacts(ctx context.Context, configured []membership.Contact) []membership.Contact {
	ctx, cancel := context.WithTimeout(ctx, findContactsTimeout)
	defer cancel()
	found, err := d.contacts.Find(ctx)
	if err != nil {
		d.logger.Info("daemon: contacts stream not read", "error", err)
	}
	return append(found, configured...)
}

const (
	// firstStartWindow is the time over which the hosts of a fleet that starts for the first time
	// spread their first reads of the directory.
	firstStartWindow = 1500 * time.Millisecond
	// firstStartGrowth is the logarithm of the number of hosts of a zone up to which only a few read
	// the directory before it has entries, with a reserve.
	firstStartGrowth = 8.0
)

// firstStartDelay returns the time until the directory is read for the first time, for a number u
// drawn from 0 to 1. In the first start of a fleet there are no seeds, and every daemon would find
// the directory empty and add its own entry. The delays are distributed exponentially towards the
// end of the window: the same few daemons come early whether a zone has ten hosts or a thousand,
// and the others find their entries.
func firstStartDelay(u float64) time.Duration {
	least := math.Exp(-firstStartGrowth)
	share := 1 + math.Log(least+u*(1-least))/firstStartGrowth
	return time.Duration(share * float64(firstStartWindow))
}

// seedContacts returns the addresses at which the daemons on the seeds' hosts listen for others.
func (d *Daemon) seedContacts() ([]membership.Contact, error) {
	seeds, err := parseContacts(d.settings.Seeds)
	for i, s := range seeds {
		seeds[i].Addr = netip.AddrPortFrom(s.Addr.Addr(), d.peerAddr().Port())
	}
	return seeds, err
}

// contactsFromSeeds joins through the seeds and returns contacts for the next join, none if the
// directory must be read. The contacts are other members: the seeds are the same on all hosts, and a
// second join of the whole fleet through them would keep their links busy.
func (d *Daemon) contactsFromSeeds(ctx context.Context, seeds []membership.Contact) []membership.Contact {
	if d.joinThroughSeeds(ctx, seeds) {
		return d.memberContacts()
	}
	if len(seeds) == 0 && d.settings.FirstStart == settings.On {
		loop.Sleep(ctx, firstStartDelay(rand.Float64()))
	}
	return nil
}

// joinThroughSeeds joins through the seeds and gets the entries of the directory from another
// daemon, so that a start makes no call to the platform. It reports whether it succeeded. If it did
// not, for example because all seeds are down, the directory must be read.
func (d *Daemon) joinThroughSeeds(ctx context.Context, seeds []membership.Contact) bool {
	if len(seeds) == 0 {
		return false
	}
	joinCtx, cancel := context.WithTimeout(ctx, seedJoinTimeout)
	defer cancel()
	if n, err := d.membership.Join(joinCtx, seeds); err != nil || n == 0 {
		d.logger.Info("daemon: no seed answers", "seeds", len(seeds), "error", err)
		return false
	}
	d.joinedOnce.Do(func() { close(d.joined) })
	return d.inheritDirectory(ctx)
}

// memberContacts returns a few members as contacts.
func (d *Daemon) memberContacts() []membership.Contact {
	self := d.membership.View().Self
	var contacts []membership.Contact
	for _, m := range selectRecoveryPeers(self, recoveryPeers{d}.otherMembers()) {
		contacts = append(contacts, membership.Contact{Addr: m.PeerAddr, AvailabilityZone: m.AvailabilityZone})
	}
	return contacts
}

// inheritDirectory gets the entries of the directory from another daemon and reports whether it
// succeeded. It gives up when this daemon's turn to read the directory has come: when all daemons
// start at once, a few read it and the others get its entries from them.
func (d *Daemon) inheritDirectory(ctx context.Context) bool {
	for {
		if ans := d.queryDirectory(ctx); ans != nil {
			d.addEntries(ans.GetEntries())
			d.membership.SetDirectoryHosts(ans.GetHosts())
			d.contacts.SkipRead()
			return true
		}
		if d.logDelay() <= 0 || !loop.SleepJittered(ctx, directoryQueryInterval) {
			return false
		}
	}
}

// queryDirectory queries a few daemons for the contents of the directory. The result is nil if none of
// them knows it.
func (d *Daemon) queryDirectory(ctx context.Context) *peerpb.DirectoryAnswer {
	peers := selectRecoveryPeers(d.membership.View().Self, recoveryPeers{d}.otherMembers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(directoryQueries, len(peers))] {
		if ans := d.queryDirectoryOf(ctx, m); ans.GetKnown() {
			return ans
		}
	}
	return nil
}

func (d *Daemon) queryDirectoryOf(ctx context.Context, m *membership.Member) *peerpb.DirectoryAnswer {
	ctx, cancel := context.WithTimeout(ctx, directoryQueryTimeout)
	defer cancel()
	ans := new(peerpb.DirectoryAnswer)
	if err := d.controlPool.Call(ctx, m.PeerAddr, peerpb.Kind_KIND_DIRECTORY, &peerpb.DirectoryAsk{}, ans); err != nil {
		return nil
	}
	return ans
}

// serveDirectory answers the query of a starting daemon.
func (p *components) serveDirectory(context.Context, *peerpb.DirectoryAsk) (proto.Message, error) {
	ans := &peerpb.DirectoryAnswer{Known: p.contacts.EntriesKnown()}
	if ans.Known {
		ans.Entries = append(p.quarantines.Entries(), p.rollouts.Entries()...)
		ans.Hosts = p.membership.DirectoryHosts()
	}
	return ans, nil
}

// setDirectoryHosts passes the hosts that the directory names to membership.
func (p *components) setDirectoryHosts(hosts []string) {
	digests := make([]uint64, len(hosts))
	for i, h := range hosts {
		digests[i] = membership.HostDigest(h)
	}
	p.membership.SetDirectoryHosts(digests)
}
