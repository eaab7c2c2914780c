// Command 3 shows whether tenants get more than their quota if a machine that was cut off from the
// others while their version was published is back.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/review/kit"
)

const (
	service = "intake"
	route   = "submit"
	hosts   = 10
	// cutHost is the index of the machine that is cut off.
	cutHost = 8

	// window, overage and slack are the bounds of the site tuul-signq-grown.
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20

	// perS and burst are the quota of each tenant, with a burst of one second as in the examples of
	// fleetbench wire.
	perS    = 150.0
	burst   = 150.0
	tenants = 12
	// wanted is what each of the busy tenants sends, in requests per second.
	wanted = 400

	// cut is how long the machine is cut off, at most 8 s on the pages.
	cut = 4500 * time.Millisecond
	// publishAfter is the time from the cut to the version with the tenants, beginAfter that from the
	// version to their first requests.
	publishAfter = 3500 * time.Millisecond
	beginAfter   = 500 * time.Millisecond
)

// busy are the tenants that send requests. The first two fall to the machine that is cut off.
var busy = []int{0, 8, 9}

func main() {
	kit.Main(kit.Options{
		Services: slices.Repeat([]string{service}, hosts), Zones: 1, Born: true, Proxied: true,
		Bounds: map[string]any{"quota_window": 5, "quota_overage": overage, "quota_slack": slack},
	}, run)
}

func run(d *kit.Deployment) (bool, error) {
	var targets []*kit.Target
	for _, h := range d.Hosts {
		t, err := h.StartTarget("i-"+h.Name, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	c := kit.NewConfig(3, service)
	c.AddRoute(route, service, kit.NonIdempotent, 2000)
	c.Tenants = []kit.Tenant{tenant("first")}
	d.Publish(c)
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)

	away := d.Hosts[cutHost]
	if kit.Trouble() {
		away.CutOff()
		time.AfterFunc(cut, d.Heal)
	}
	time.Sleep(publishAfter)
	c.Version = 7
	var names []string
	for i := range tenants {
		names = append(names, fmt.Sprintf("tenant-%d", i))
		c.Tenants = append(c.Tenants, tenant(names[i]))
	}
	d.Publish(c)
	time.Sleep(beginAfter)
	end := time.Now().Add(10 * time.Second)
	var others []*kit.Host
	for _, h := range d.Hosts {
		if h != away {
			others = append(others, h)
		}
	}
	var wg sync.WaitGroup
	for _, i := range busy {
		wg.Go(func() { send(others, names[i], end) })
	}
	wg.Wait()
	return exceeded(d, targets, names), nil
}

func tenant(name string) kit.Tenant {
	return kit.Tenant{Name: name, Keys: []string{"key-" + name}, PerS: perS, Burst: burst}
}

// send sends the requests of a tenant through the hosts in turn.
func send(hosts []*kit.Host, name string, end time.Time) {
	var clients []*kit.Client
	for _, h := range hosts {
		clients = append(clients, h.NewClient())
	}
	kit.Pace(wanted, end, func(i int) {
		clients[i%len(clients)].Do(kit.Request{Method: http.MethodPost, Route: route, Key: "key-" + name, Body: name, Deadline: time.Second})
	})
}

// request is when a request was sent and when a target ran it.
type request struct{ sent, ran time.Time }

// exceeded reports whether in some window more requests of a tenant were both sent and run than its
// quota allows.
func exceeded(d *kit.Deployment, targets []*kit.Target, names []string) bool {
	allowed := (perS*window.Seconds()+burst)*(1+overage) + slack
	requests := map[string][]request{}
	for _, t := range targets {
		for _, r := range t.Runs() {
			requests[r.Tenant] = append(requests[r.Tenant], request{kit.SentAt(r.ID), r.At})
		}
	}
	broken := false
	for _, name := range names {
		most := 0
		for _, first := range requests[name] {
			n := 0
			for _, r := range requests[name] {
				if !r.sent.Before(first.sent) && !r.ran.After(first.sent.Add(window)) {
					n++
				}
			}
			most = max(most, n)
		}
		d.Record.Log("most requests sent and run in a window", "tenant", name, "count", most, "allowed", int(allowed))
		broken = broken || float64(most) > allowed
	}
	return broken
}
