package main

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/bench/trial"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
)

const (
	observeEvery = 200 * time.Millisecond
	// statesEvery is in observations.
	statesEvery  = 10
	stateTimeout = 2 * time.Second
)

// observe asks every daemon again and again until ctx ends.
func (d *deployment) observe(ctx context.Context) error {
	var t tomb.Tomb
	for _, h := range d.Hosts {
		t.Go(func() error {
			d.observeHost(ctx, h)
			return nil
		})
	}
	return t.Wait()
}

func (d *deployment) observeHost(ctx context.Context, h *trial.Host) {
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		d.observeVersion(ctx, h)
		if n%statesEvery == 0 {
			d.observeState(ctx, h)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *deployment) observeVersion(ctx context.Context, h *trial.Host) {
	life, asked := d.ledger.life(h.Name), time.Now()
	s, err := d.Status(ctx, h)
	if err != nil {
		return
	}
	d.ledger.observe(checker.Observation{Host: h.Name, Life: life, Asked: asked, At: time.Now(), Offset: s.GetOffset()})
}

func (d *deployment) observeState(ctx context.Context, h *trial.Host) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	st, err := operator.NewClient(h.Operators()).State(ctx)
	if err != nil {
		return
	}
	s := checker.State{
		Host: h.Name, At: time.Now(), Offset: st.GetOffset(),
		Chain: hex.EncodeToString(st.GetChain()), Revisions: map[string]uint64{},
	}
	for _, e := range st.GetEntries() {
		s.Revisions[nameOf(e.GetResource())] = e.GetRevision()
	}
	d.ledger.update(func(r *checker.Records) { r.States = append(r.States, s) })
}

// observeStates takes one state of every daemon.
func (d *deployment) observeStates(ctx context.Context) {
	d.onAll(func(h *trial.Host) { d.observeState(ctx, h) })
}

// probe sends a request of one customer to every daemon.
func (d *deployment) probe(ctx context.Context, customer string) {
	d.onAll(func(h *trial.Host) { d.probeHost(ctx, h, customer) })
}

func (d *deployment) probeHost(ctx context.Context, h *trial.Host, customer string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.CallerURL()+pathSigns+"probe", nil)
	if err != nil {
		return
	}
	req.Header.Set(body.HeaderCustomer, customer)
	p := checker.Probe{Host: h.Name, Customer: customer, Sent: time.Now()}
	resp, err := d.http.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	switch errkind.Kind(resp.Header.Get(answer.HeaderError)) {
	case errkind.NotReady:
		return
	case errkind.UnknownCustomer:
		p.Unknown = true
	}
	d.ledger.update(func(r *checker.Records) { r.Probes = append(r.Probes, p) })
}

func (d *deployment) onAll(do func(*trial.Host)) {
	var t tomb.Tomb
	t.Go(func() error {
		for _, h := range d.Hosts {
			t.Go(func() error {
				do(h)
				return nil
			})
		}
		return nil
	})
	_ = t.Wait()
}
