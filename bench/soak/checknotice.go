package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/internal/standin/platformbackend"
)

// noticeBounds are the platform's bounds on the requests to servers that state a limit or that they
// leave.
type noticeBounds struct {
	// Window is the time over which the requests to a limited server are counted. Factor times what
	// its limit allows in that time and Extra requests more are allowed.
	Window time.Duration
	Factor float64
	Extra  int
	// Contact is the time from a server's first statement until its limit binds, Told the time from
	// a host's response with it until the requests of that host count.
	Contact, Told time.Duration
	// Drain is the time from a host's response of a server that leaves until no request sent later
	// may reach that server from that host.
	Drain time.Duration
}

// noticePromises are the bounds that the platform states.
var noticePromises = noticeBounds{
	Window: 4 * time.Second, Factor: 1.5, Extra: 5,
	Contact: 3 * time.Second, Told: 500 * time.Millisecond, Drain: 2 * time.Second,
}

// serverNotice is a change of what a server states about itself.
type serverNotice struct {
	Server string
	At     time.Time
	Notice platformbackend.Notice
}

// arrival is a request that reached a server.
type arrival struct {
	Server, RequestID string
	At                time.Time
}

// host returns the host where the request began.
func (a arrival) host() string { return hostOfRequest(a.RequestID) }

// hostOfRequest returns the host that the ID of a probe names.
func hostOfRequest(id string) string {
	i := strings.LastIndexByte(id, '-')
	return id[:max(i, 0)]
}

// told is a response by which a host has learned what a server states.
type told struct {
	host string
	at   time.Time
}

// noticeCheck checks the requests to one server.
type noticeCheck struct {
	b      noticeBounds
	server string
	// notices are the server's statements in order, arrivals its requests in order.
	notices  []serverNotice
	arrivals []arrival
	// limited and leaving are the responses with a limit and with the statement that it leaves.
	limited, leaving []told
	// forgot holds the disruptions in which a host restarted or stood still, and may have forgotten
	// what it was told. The empty host stands for all.
	forgot map[string][]disruption
	sent   map[string]time.Time
}

// checkNotices returns the breaches of the bounds, as texts.
func checkNotices(r records, b noticeBounds) []string {
	var found []string
	for _, c := range newNoticeChecks(r, b) {
		found = append(found, c.checkLimits()...)
		found = append(found, c.checkLeaving()...)
	}
	return found
}

func newNoticeChecks(r records, b noticeBounds) []*noticeCheck {
	byServer := map[string]*noticeCheck{}
	var checks []*noticeCheck
	forgot, sent := forgetting(r), map[string]time.Time{}
	for _, n := range r.Notices {
		c := byServer[n.Server]
		if c == nil {
			c = &noticeCheck{b: b, server: n.Server, forgot: forgot, sent: sent}
			byServer[n.Server], checks = c, append(checks, c)
		}
		c.notices = append(c.notices, n)
	}
	for _, p := range r.Probes {
		sent[p.ID] = p.Sent
		c := byServer[p.Server]
		if c == nil {
			continue
		}
		if p.Limited {
			c.limited = append(c.limited, told{p.Host, p.Ended})
		}
		if p.Leaving {
			c.leaving = append(c.leaving, told{p.Host, p.Ended})
		}
	}
	for _, a := range r.Arrivals {
		if c := byServer[a.Server]; c != nil {
			c.arrivals = append(c.arrivals, a)
		}
	}
	for _, c := range checks {
		slices.SortFunc(c.arrivals, func(x, y arrival) int { return x.At.Compare(y.At) })
	}
	return checks
}

// forgetfulFaults are the disruptions that excuse a host.
var forgetfulFaults = []string{"kill", "terminate", "pause", "machine-halted"}

// forgetting returns the disruptions that excuse each host.
func forgetting(r records) map[string][]disruption {
	m := map[string][]disruption{}
	for _, d := range r.Disruptions {
		if slices.Contains(forgetfulFaults, d.Kind) {
			m[d.Host] = append(m[d.Host], d)
		}
	}
	return m
}

// knows reports whether a host has been told by a time, and neither restarted nor stood still since.
func (c *noticeCheck) knows(list []told, host string, by, now time.Time) bool {
	return slices.ContainsFunc(list, func(t told) bool {
		return t.host == host && !t.at.After(by) && !c.hasForgotten(host, t.at, now)
	})
}

// hasForgotten reports whether a disruption of the host was going on between two times. A process that
// is told to stop passes on responses until its end, and its successor knows nothing of them.
func (c *noticeCheck) hasForgotten(host string, from, to time.Time) bool {
	within := func(d disruption) bool { return !d.From.After(to) && (d.To.IsZero() || d.To.After(from)) }
	return slices.ContainsFunc(c.forgot[host], within) || slices.ContainsFunc(c.forgot[""], within)
}

// checkLimits looks for windows with more requests than the highest limit stated in them allows, in
// each time in which the server states a limit.
func (c *noticeCheck) checkLimits() []string {
	for _, e := range c.limitedTimes() {
		var counted []time.Time
		for _, a := range c.arrivals {
			if a.At.After(e.from) && a.At.Before(e.to) && c.knows(since(c.limited, e.from), a.host(), a.At.Add(-c.b.Told), a.At) {
				counted = append(counted, a.At)
			}
		}
		if s := c.firstExcess(e, counted); s != "" {
			return []string{s}
		}
	}
	return nil
}

// since returns the responses from a time on.
func since(list []told, from time.Time) []told {
	return slices.DeleteFunc(slices.Clone(list), func(t told) bool { return t.at.Before(from) })
}

// firstExcess describes the first window with too many requests, "" if there is none.
func (c *noticeCheck) firstExcess(e limitedTime, counted []time.Time) string {
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) >= c.b.Window {
			first++
		}
		if at.Before(e.from.Add(c.b.Contact)) {
			continue
		}
		limit := e.highest(counted[first].Add(-c.b.Told), at)
		allowed := int(c.b.Factor*limit*c.b.Window.Seconds()) + c.b.Extra
		if n := i - first + 1; n > allowed {
			return fmt.Sprintf("LIMIT: server %s with a limit of %.2f a second got %d requests in %s, allowed %d, at %s", c.server, limit, n, c.b.Window, allowed, at.Format(time.TimeOnly))
		}
	}
	return ""
}

// limitedTime is a time in which a server states limits all along.
type limitedTime struct {
	from, to time.Time
	limits   []serverNotice
}

// limitedTimes returns the times in which the server states a limit. A time ends when the server
// lifts the limit.
func (c *noticeCheck) limitedTimes() []limitedTime {
	var times []limitedTime
	open := false
	for _, n := range c.notices {
		switch {
		case n.Notice.Limited && !open:
			times = append(times, limitedTime{from: n.At, to: n.At.Add(24 * time.Hour), limits: []serverNotice{n}})
			open = true
		case n.Notice.Limited:
			last := &times[len(times)-1]
			last.limits = append(last.limits, n)
		case open:
			times[len(times)-1].to = n.At
			open = false
		}
	}
	return times
}

// highest returns the highest limit that the server states at any time between two times.
func (e limitedTime) highest(from, to time.Time) float64 {
	limit := 0.0
	for i, n := range e.limits {
		ends := e.to
		if i+1 < len(e.limits) {
			ends = e.limits[i+1].At
		}
		if n.At.Before(to) && ends.After(from) {
			limit = max(limit, n.Notice.RateLimit)
		}
	}
	return limit
}

// checkLeaving looks for requests that reached the server though the host where they began had been
// told, before they were sent, that it leaves.
func (c *noticeCheck) checkLeaving() []string {
	var found []string
	for _, a := range c.arrivals {
		sent, ok := c.sent[a.RequestID]
		if ok && c.knows(c.leaving, a.host(), sent.Add(-c.b.Drain), a.At) {
			found = append(found, fmt.Sprintf("DRAIN: server %s, which leaves, got request %s from a host that it had told", c.server, a.RequestID))
		}
	}
	return found
}
