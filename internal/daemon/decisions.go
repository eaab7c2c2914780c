package daemon

import (
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/controller/quarantines"
	"github.com/crocuscross/crocuscross/internal/controller/rollouts"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/rollout"
)

// The components that this file builds decide on quarantines and rollouts. They store their
// decisions in the platform's directory, next to the addresses of the daemons.

func (p *components) buildQuarantine(d *Daemon, directory eventlog.Directory) {
	o := quarantine.DefaultOptions()
	o.Logger = d.logger
	p.quarantine = quarantine.New(o)
	p.quarantines = quarantines.New(quarantines.Options{
		Board: d.board, Tracker: p.quarantine, Membership: p.membership, Directory: directory,
		Host: d.settings.Host, Logger: d.logger, Now: time.Now,
	})
}

func (p *components) buildRollouts(d *Daemon, directory eventlog.Directory) {
	o := rollout.DefaultOptions()
	o.MaxShare, o.Slack = d.settings.Rollouts.MaxShare, d.settings.Rollouts.Slack
	o.Logger = d.logger
	p.rolloutGate = rollout.NewGate(time.Now)
	c := rollouts.Options{
		Board: d.board, Gate: p.rolloutGate, Decider: rollout.NewDecider(o), Peers: rolloutPeers{p.controlPool},
		Directory: directory, Host: d.settings.Host, Boot: d.boot, Logger: d.logger, Now: time.Now,
	}
	if p.adapter != nil {
		c.StatusReporter = p.adapter.Rollouts
	}
	p.rollouts = rollouts.New(c)
}

// addEntries passes the directory's entries to both components. Each ignores the entries of the
// other.
func (p *components) addEntries(values [][]byte) {
	p.quarantines.AddEntries(values)
	p.rollouts.AddEntries(values)
}
