package main

import (
	"context"
	"time"
)

const (
	haltCheckInterval = 20 * time.Millisecond
	// minHalt is the least time without a check that counts as a halt of the machine.
	minHalt = 500 * time.Millisecond
)

// watchHalts records as disruptions the times in which this process did not run, until ctx is done.
// On a machine that is paused or has far too little processor time, the daemons do not run either,
// and no bound holds for processes that do not run.
func (f *fleet) watchHalts(ctx context.Context) error {
	last := time.Now()
	for sleep(ctx, haltCheckInterval) == nil {
		now := time.Now()
		f.recordHalt(last, now)
		last = now
	}
	return nil
}

// recordHalt records the time between two checks if it is a halt.
func (f *fleet) recordHalt(last, now time.Time) {
	if now.Sub(last) < minHalt {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.Disruptions = append(f.rec.Disruptions, disruption{Kind: "machine-halted", From: last, To: now})
}
