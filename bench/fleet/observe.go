package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/internal/standin/logserver"
)

const (
	// askTimeout bounds one request to a daemon.
	askTimeout = 2 * time.Second
	// askAtOnce bounds the requests in flight, so that observing does not load
	// the machine.
	askAtOnce = 16
)

// sighting is one daemon's version in force.
type sighting struct {
	offset uint64
	// at is when the version came into force, by this process's clock.
	at time.Time
	ok bool
}

// sightings are those of all hosts, in order; the dead ones are left out.
type sightings []sighting

// behind counts the daemons that lack an offset.
func (s sightings) behind(offset uint64) int {
	n := 0
	for _, x := range s {
		if !x.ok || x.offset < offset {
			n++
		}
	}
	return n
}

// collect asks all live daemons. Each tells the age of its version, a duration,
// so nothing need be polled while a revision spreads.
func (f *fleet) collect(ctx context.Context) sightings {
	return each(f.live(), func(h *host) sighting {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		s, err := operator.NewClient(h.operators()).Self(ctx)
		if err != nil {
			return sighting{}
		}
		age := time.Duration(s.GetInForceAgeMs()) * time.Millisecond
		return sighting{offset: s.GetOffset(), at: time.Now().Add(-age), ok: true}
	})
}

func (f *fleet) live() []*host {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h.dead })
}

// usage is what one daemon has used since its start.
type usage struct {
	sent, received, member, cpuSeconds, resident float64
}

// usages asks all live daemons for their metrics.
func (f *fleet) usages(ctx context.Context) (map[*host]usage, error) {
	type result struct {
		usage
		err error
	}
	hosts := f.live()
	all := make(map[*host]usage, len(hosts))
	results := each(hosts, func(h *host) result {
		u, err := readUsage(ctx, "http://"+h.operators()+"/metrics")
		return result{u, errors.Wrap(err, h.name)}
	})
	for i, r := range results {
		if r.err != nil {
			return nil, r.err
		}
		all[hosts[i]] = r.usage
	}
	return all, nil
}

// readUsage reads the few metrics that are wanted.
func readUsage(ctx context.Context, url string) (usage, error) {
	var u usage
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return u, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return u, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		u.add(lines.Text())
	}
	return u, lines.Err()
}

// add takes in one line of the Prometheus text format.
func (u *usage) add(line string) {
	metric, text, ok := strings.Cut(line, " ")
	if !ok || strings.HasPrefix(line, "#") {
		return
	}
	v, _ := strconv.ParseFloat(text, 64)
	name, labels, _ := strings.Cut(metric, "{")
	sent := strings.Contains(labels, `direction="sent"`)
	switch {
	case name == "crocuscross_peer_bytes_total" && sent:
		u.sent += v
	case name == "crocuscross_peer_bytes_total":
		u.received += v
	case name == "crocuscross_member_sent_bytes_total":
		u.sent += v
		u.member += v
	case name == "crocuscross_member_received_bytes_total":
		u.received += v
	case name == "process_cpu_seconds_total":
		u.cpuSeconds = v
	case name == "process_resident_memory_bytes":
		u.resident = v
	}
}

// logCounters returns what the log has been asked.
func (f *fleet) logCounters(ctx context.Context) (logserver.Counters, error) {
	var c logserver.Counters
	return c, f.admin(ctx, http.MethodGet, "counters", &c)
}

// admin sends one command to the log.
func (f *fleet) admin(ctx context.Context, method, command string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, f.logURL+"/admin/"+command, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", command, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

// each runs f for all hosts, a few at once, and returns the results in order.
func each[T any](hosts []*host, f func(*host) T) []T {
	out := make([]T, len(hosts))
	slots := make(chan struct{}, askAtOnce)
	var wg sync.WaitGroup
	for i, h := range hosts {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i] = f(h)
		})
	}
	wg.Wait()
	return out
}

// quantilesOf sorts values.
func quantilesOf(values []float64) quantiles {
	if len(values) == 0 {
		return quantiles{}
	}
	slices.Sort(values)
	at := func(q float64) float64 { return values[int(q*float64(len(values)-1)+0.5)] }
	return quantiles{P50: at(0.5), P99: at(0.99), Max: at(1)}
}
