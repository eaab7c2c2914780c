package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// dumpFile holds what was recorded besides the executions, whose files are
// there already.
const dumpFile = "records.json"

// dump writes the records into the folder with the logs, for whoever looks for
// the cause of a breach.
func (d *deployment) dump() error {
	f, err := os.Create(filepath.Join(d.Dir, dumpFile))
	if err != nil {
		return errors.Wrap(err, "keep the records")
	}
	return errors.CombineErrors(json.NewEncoder(f).Encode(d.ledger.copy()), f.Close())
}

// metAbsent reports whether a call was sent to a daemon that was dead or paused.
func (d *deployment) metAbsent(c *caller.Call, absences []checker.Absence) bool {
	return slices.ContainsFunc(c.Log, func(t caller.Try) bool {
		host := d.hostAt(t.Target)
		return slices.ContainsFunc(absences, func(a checker.Absence) bool {
			gone := a.Host == host && (a.Why == whyDead || a.Why == whyPaused)
			return gone && t.End.After(a.From) && (a.To.IsZero() || t.Start.Before(a.To.Add(startMargin)))
		})
	})
}

// startMargin is how long after its process has started a daemon may not listen
// yet.
const startMargin = 200 * time.Millisecond

// hostAt returns the name of the host whose daemon is a caller's target.
func (d *deployment) hostAt(target string) string {
	for _, h := range d.Hosts {
		if h.CallerURL() == target {
			return h.Name
		}
	}
	return ""
}
