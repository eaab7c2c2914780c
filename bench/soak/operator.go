package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/internal/standin/platformbackend"
)

const (
	// recentRoutes is the number of routes that changed last, which most probes go to.
	recentRoutes = 8
	recentShare  = 0.85

	stormVersions = 25
	// bigVersions is the number of versions for which a large configuration stays.
	bigVersions = 5
)

// operator publishes configurations. Its fields are guarded by fleet.mu.
type operator struct {
	f   *fleet
	rng *rand.Rand
	// writing is held while a configuration is written, so that none overtakes another.
	writing sync.Mutex
	// routes maps each route, virtual host and path prefix, to the services that serve it.
	routes map[string][]string
	// recent are the routes that changed last, the latest last.
	recent []string
	number uint64
	added  int
	// bigLeft is the number of versions until the large configuration is dropped.
	bigLeft int
}

func newOperator(f *fleet, rng *rand.Rand) *operator {
	return &operator{f: f, rng: rng, routes: map[string][]string{}, number: 3}
}

func (o *operator) publishFirst(ctx context.Context) error {
	for range 6 {
		o.addRoute()
	}
	return o.publish(ctx, func() {})
}

// run publishes until ctx is done: at uneven intervals, and now and then many versions in quick
// succession.
func (o *operator) run(ctx context.Context) error {
	for {
		pause, count := time.Duration(o.rng.ExpFloat64()*float64(1200*time.Millisecond)), 1
		if o.rng.IntN(25) == 0 {
			count = stormVersions
		}
		if sleep(ctx, pause) != nil {
			return nil
		}
		for range count {
			if err := o.publish(ctx, o.change); err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			if count > 1 && sleep(ctx, time.Duration(o.rng.IntN(200))*time.Millisecond) != nil {
				return nil
			}
		}
	}
}

// change draws the next version.
func (o *operator) change() {
	o.number += 1 + uint64(o.rng.IntN(5))
	for range 1 + o.rng.IntN(2) {
		switch o.rng.IntN(6) {
		case 0, 1, 2:
			o.addRoute()
		case 3:
			o.moveRoute()
		case 4:
			o.dropRoute()
		case 5:
			o.splitRoute()
		}
	}
	o.bigLeft--
	switch {
	case o.bigLeft == 0:
		maps.DeleteFunc(o.routes, func(r string, _ []string) bool { return strings.HasPrefix(r, "idle") })
	case o.bigLeft < -20 && o.f.o.big > 0 && o.rng.IntN(20) == 0:
		o.bigLeft = bigVersions
		for i := range o.f.o.big {
			o.routes[fmt.Sprintf("idle%d.example/p%d/", i%50, i)] = services[:1]
		}
	}
}

func (o *operator) touched(route string) {
	o.recent = append(o.recent, route)
	o.recent = o.recent[max(0, len(o.recent)-recentRoutes):]
}

func (o *operator) addRoute() {
	o.added++
	route := fmt.Sprintf("move%d.example/le%d/", o.added%7, o.added)
	o.routes[route] = []string{services[o.rng.IntN(len(services))]}
	o.touched(route)
}

// someRoute draws a route that is not part of a large configuration, empty if there is none.
func (o *operator) someRoute(rng *rand.Rand) string {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(o.routes)), func(r string) bool { return strings.HasPrefix(r, "idle") })
	if len(names) == 0 {
		return ""
	}
	return names[rng.IntN(len(names))]
}

func (o *operator) moveRoute() {
	if route := o.someRoute(o.rng); route != "" {
		other := services[0]
		if o.routes[route][0] == other {
			other = services[1]
		}
		o.routes[route] = []string{other}
		o.touched(route)
	}
}

func (o *operator) splitRoute() {
	if route := o.someRoute(o.rng); route != "" {
		o.routes[route] = slices.Clone(services)
		o.touched(route)
	}
}

func (o *operator) dropRoute() {
	if route := o.someRoute(o.rng); route != "" {
		delete(o.routes, route)
		o.touched(route)
	}
}

// drawRoute draws the route of a probe.
func (o *operator) drawRoute(rng *rand.Rand) string {
	if len(o.recent) > 0 && rng.Float64() < recentShare {
		return o.recent[rng.IntN(len(o.recent))]
	}
	if route := o.someRoute(rng); route != "" {
		return route
	}
	return "none.example/none/"
}

// publish changes the configuration, writes it and records it once the store has acknowledged it.
func (o *operator) publish(ctx context.Context, change func()) error {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.f.mu.Lock()
	change()
	i := len(o.f.rec.Versions)
	o.f.rec.Versions = append(o.f.rec.Versions, version{Number: o.number, Sent: time.Now(), Routes: maps.Clone(o.routes)})
	document := o.document()
	o.f.mu.Unlock()
	if err := o.write(ctx, document); err != nil {
		return err
	}
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	o.f.rec.Versions[i].Acked = time.Now()
	return nil
}

// rewrite writes the current configuration again, as after the store has lost it.
func (o *operator) rewrite(ctx context.Context) error {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.f.mu.Lock()
	document := o.document()
	o.f.mu.Unlock()
	return o.write(ctx, document)
}

func (o *operator) write(ctx context.Context, document string) error {
	return o.f.post(ctx, "config", document)
}

// split is a part of a route's traffic.
type split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// route is a route as the operator writes it.
type route struct {
	Name        string  `json:"name"`
	VirtualHost string  `json:"virtual_host"`
	PathPrefix  string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeout_ms"`
	ObjectiveMs int     `json:"latency_objective_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service,omitempty"`
	Split       []split `json:"split,omitempty"`
	MaxAttempts int     `json:"max_attempts"`
}

// document returns the JSON of the current configuration.
func (o *operator) document() string {
	doc := struct {
		Version  uint64              `json:"version"`
		Services []map[string]string `json:"services"`
		Routes   []route             `json:"routes"`
	}{Version: o.number}
	for _, s := range services {
		doc.Services = append(doc.Services, map[string]string{"name": s, "health_path": platformbackend.PathHealth})
	}
	for _, key := range slices.Sorted(maps.Keys(o.routes)) {
		virtualHost, path, _ := strings.Cut(key, "/")
		r := route{
			Name: "r-" + strings.Trim(strings.ReplaceAll(key, "/", "-"), "-"), VirtualHost: virtualHost, PathPrefix: "/" + path,
			Kind: "CALL_KIND_IDEMPOTENT", TimeoutMs: 2000, ObjectiveMs: 600, MaxAttempts: 2,
		}
		if list := o.routes[key]; len(list) == 1 {
			r.Service = list[0]
		} else {
			for _, s := range list {
				r.Split = append(r.Split, split{s, 50})
			}
		}
		doc.Routes = append(doc.Routes, r)
	}
	b, _ := json.Marshal(doc)
	return string(b)
}
