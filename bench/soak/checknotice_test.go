package main

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/standin/platformbackend"
)

// limitRun returns records in which server s states a limit of 2 a second from 10 s on, host h passes
// on such a response at 10.1 s, and s gets n requests of h evenly from a time on over a length.
func limitRun(n int, from, length float64) records {
	r := records{
		Start:   begin,
		Notices: []serverNotice{{Server: "s", At: at(10), Notice: platformbackend.Notice{Limited: true, RateLimit: 2}}},
		Probes:  []probe{{ID: "h-0", Host: "h", Server: "s", Sent: at(10), Ended: at(10.1), Limited: true}},
	}
	for i := range n {
		r.Arrivals = append(r.Arrivals, arrival{Server: "s", RequestID: fmt.Sprintf("h-%d", i+1), At: at(from + length*float64(i)/float64(n))})
	}
	return r
}

func TestCheckNotices_Limit(t *testing.T) {
	for name, tc := range map[string]struct {
		run    records
		change func(*records)
		broken int
	}{
		"as many as allowed":                  {run: limitRun(17, 14, 3.9)},
		"one more":                            {run: limitRun(18, 14, 3.9), broken: 1},
		"one more, over a longer time":        {run: limitRun(18, 14, 4.6)},
		"a window that begins before contact": {run: limitRun(18, 10.7, 3.9), broken: 1},
		"before contact":                      {run: limitRun(18, 10.7, 2)},
		"before the host was told":            {run: limitRun(18, 10.1, 0.4)},
		"another host was told": {run: limitRun(18, 14, 3.9), change: func(r *records) {
			r.Probes[0].ID, r.Probes[0].Host = "i-0", "i"
		}},
		"the host restarted": {run: limitRun(18, 14, 3.9), change: func(r *records) {
			r.Disruptions = []disruption{{Kind: "kill", Host: "h", From: at(12), To: at(13)}}
		}},
		"another host restarted": {run: limitRun(18, 14, 3.9), broken: 1, change: func(r *records) {
			r.Disruptions = []disruption{{Kind: "kill", Host: "i", From: at(12), To: at(13)}}
		}},
		"the store was down": {run: limitRun(18, 14, 3.9), broken: 1, change: func(r *records) {
			r.Disruptions = []disruption{{Kind: "store-silent", From: at(12), To: at(13)}}
		}},
		"the limit was raised": {run: limitRun(18, 14, 3.9), change: func(r *records) {
			r.Notices = append(r.Notices, serverNotice{Server: "s", At: at(15), Notice: platformbackend.Notice{Limited: true, RateLimit: 3}})
		}},
		"the limit was lifted": {run: limitRun(18, 14, 3.9), change: func(r *records) {
			r.Notices = append(r.Notices, serverNotice{Server: "s", At: at(13.9)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if tc.change != nil {
				tc.change(&tc.run)
			}
			must.Len(t, tc.broken, checkNotices(tc.run, noticePromises))
		})
	}
}

func TestCheckNotices_Leaving(t *testing.T) {
	for name, tc := range map[string]struct {
		sent        float64
		host        string
		disruptions []disruption
		broken      int
	}{
		"sent before the bound":                     {sent: 12.0, host: "h"},
		"sent after the bound":                      {sent: 12.2, host: "h", broken: 1},
		"from another host":                         {sent: 12.2, host: "i"},
		"the host stood still":                      {sent: 12.2, host: "h", disruptions: []disruption{{Kind: "pause", Host: "h", From: at(11), To: at(12)}}},
		"the host was restarting when it was told":  {sent: 12.2, host: "h", disruptions: []disruption{{Kind: "terminate", Host: "h", From: at(9), To: at(11)}}},
		"the host had restarted before it was told": {sent: 12.2, host: "h", disruptions: []disruption{{Kind: "terminate", Host: "h", From: at(9), To: at(10)}}, broken: 1},
		"the host was cut off":                      {sent: 12.2, host: "h", disruptions: []disruption{{Kind: "cut", Host: "h", From: at(11), To: at(12)}}, broken: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := records{
				Start:   begin,
				Notices: []serverNotice{{Server: "s", At: at(10), Notice: platformbackend.Notice{Leaving: true}}},
				Probes: []probe{
					{ID: "h-0", Host: "h", Server: "s", Sent: at(10), Ended: at(10.1), Leaving: true},
					{ID: tc.host + "-1", Host: tc.host, Sent: at(tc.sent), Ended: at(tc.sent + 0.1)},
				},
				Arrivals:    []arrival{{Server: "s", RequestID: tc.host + "-1", At: at(tc.sent + 0.05)}},
				Disruptions: tc.disruptions,
			}
			must.Len(t, tc.broken, checkNotices(r, noticePromises))
		})
	}
}
