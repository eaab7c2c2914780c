package daemon

import (
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/controller/quarantines"
	"github.com/crocuscross/crocuscross/internal/controller/rollouts"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/rollout"
)

// What this file builds decides about requests and versions, and keeps its verdicts in the
// platform's directory, beside the daemons' addresses.

func (p *parts) buildQuarantine(d *Daemon, directory eventlog.Directory) {
	o := quarantine.DefaultOptions()
	o.Logger = d.logger
	p.quarantine = quarantine.New(o)
	p.quarantines = quarantines.New(quarantines.Options{
		Board: d.board, Tracker: p.quarantine, Membership: p.membership, Directory: directory,
		Host: d.settings.Host, Logger: d.logger, Now: time.Now,
	})
}

func (p *parts) buildRollouts(d *Daemon, directory eventlog.Directory) {
	o := rollout.DefaultOptions()
	o.MaxShare, o.Slack = d.settings.Rollouts.MaxShare, d.settings.Rollouts.Slack
	o.Logger = d.logger
	p.rolloutGate = rollout.NewGate(time.Now)
	c := rollouts.Options{
		Board: d.board, Gate: p.rolloutGate, Decider: rollout.NewDecider(o), Peers: rolloutPeers{p.control},
		Directory: directory, Host: d.settings.Host, Boot: d.boot, Logger: d.logger, Now: time.Now,
	}
	if p.adapter != nil {
		c.StatusReporter = p.adapter.Rollouts
	}
	p.rollouts = rollouts.New(c)
}

// takeEntries passes the directory's entries on to the parts whose they are.
func (p *parts) takeEntries(values [][]byte) {
	p.quarantines.AddEntries(values)
	p.rollouts.AddEntries(values)
}
