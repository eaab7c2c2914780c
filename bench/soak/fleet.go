package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/bench/network"
	"github.com/crocuscross/crocuscross/bench/procs"
	"github.com/crocuscross/crocuscross/internal/loop"
)

// Ports of every host.
const (
	portBackend = 8145
	portCallers = 8147
	portReady   = 8141
	portControl = 8144
	portPeers   = 7380
	portStore   = 8142
)

const (
	// firstSubnet is the second byte of the loopback addresses of slot 0.
	firstSubnet  = 160
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// maxSeeds is the number of addresses of other hosts that a restarted daemon is given.
	maxSeeds = 3
)

// services are the services of the backend servers, in turn by host.
var services = []string{"sign-feed", "site-ops"}

// host is one host of the fleet. Its fields are guarded by fleet.mu after the start.
type host struct {
	name, zone, ip, service string
	// advertisedIP is where the other daemons reach the host through the network, storeIP where its
	// daemon reaches the store.
	advertisedIP, storeIP string
	daemon                *procs.Process
	incarnation           int
	// taken is set while a fault has reserved the daemon's process.
	taken  bool
	server backendServer
}

// fleet is the running system with what was recorded of it.
type fleet struct {
	o     options
	dir   string
	group *procs.Group
	hosts []*host
	// network passes on what the daemons send each other.
	network *network.Network
	store   *procs.Process
	// admin is the URL of the store's admin API.
	admin    string
	template string
	client   *http.Client
	operator *operator

	mu  sync.Mutex
	rec records
	// servers is the number of backend servers that have been started.
	servers int
}

func (o options) subnet() string { return fmt.Sprintf("127.%d", firstSubnet+o.slot) }

// startFleet starts the store, the daemons and their backend servers, publishes the first
// configuration and waits until all daemons are ready.
func startFleet(ctx context.Context, o options) (*fleet, error) {
	dir, err := os.MkdirTemp("", "crocuscross-soak-")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(o.template)
	if err != nil {
		return nil, errors.Wrap(err, "read settings template")
	}
	f := &fleet{o: o, dir: dir, group: procs.NewGroup(dir), template: string(template), client: &http.Client{Timeout: 10 * time.Second}}
	f.operator = newOperator(f, rand.New(rand.NewPCG(o.seed, 1)))
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, errors.Wrapf(err, "start fleet, logs in %s", dir)
	}
	return f, nil
}

// close ends all processes and the network between them.
func (f *fleet) close() {
	f.group.KillAll()
	if f.network != nil {
		_ = f.network.Close()
	}
}

func (f *fleet) start(ctx context.Context) error {
	args := []string{"store"}
	for i := range f.o.hosts {
		h := f.o.newHost(i)
		f.hosts = append(f.hosts, h)
		args = append(args, "--store", fmt.Sprintf("%s:%d", h.storeIP, portStore))
	}
	if err := f.connect(); err != nil {
		return err
	}
	store, addr, err := f.group.StartListening(ctx, "store", f.o.standin, args...)
	if err != nil {
		return err
	}
	f.store, f.admin = store, "http://"+addr
	for _, h := range f.hosts {
		if err := f.startDaemon(h, true); err != nil {
			return err
		}
		if err := f.startServer(ctx, h); err != nil {
			return err
		}
	}
	f.rec.Start = time.Now()
	if err := f.operator.publishFirst(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range f.hosts {
		if err := f.waitReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

func (o options) newHost(i int) *host {
	zone := i % o.zones
	return &host{
		name: fmt.Sprintf("host-%d", i+1), zone: fmt.Sprintf("zone-%d", zone), service: services[i%len(services)],
		ip:           fmt.Sprintf("%s.%d.%d", o.subnet(), zone+1, i+1),
		advertisedIP: fmt.Sprintf("%s.%d.%d", o.subnet(), zone+101, i+1),
		storeIP:      fmt.Sprintf("%s.200.%d", o.subnet(), i+1),
	}
}

// connect puts the network between the hosts.
func (f *fleet) connect() error {
	var hosts []network.Host
	for _, h := range f.hosts {
		listen, err := netip.ParseAddrPort(h.addr(portPeers))
		if err != nil {
			return err
		}
		advertise, err := netip.ParseAddrPort(h.advertised())
		if err != nil {
			return err
		}
		hosts = append(hosts, network.Host{Name: h.name, Listen: listen, Advertise: advertise})
	}
	var err error
	f.network, err = network.New(hosts)
	return err
}

func (h *host) advertised() string { return fmt.Sprintf("%s:%d", h.advertisedIP, portPeers) }

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// settings returns the settings file of a host as the platform writes it.
func (f *fleet) settings(h *host, first bool) (string, error) {
	seeds := []string{}
	for _, other := range f.hosts {
		if !first && other != h && len(seeds) < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.advertisedIP, portControl))
		}
	}
	bounds := map[string]any{"retry_budget_ratio": 0.2, "budget_extra_tries": 64, "grace": 6}
	if f.o.limitedAccounts {
		maps.Copy(bounds, map[string]any{"quota_window": 5, "quota_overage": 0.1, "quota_slack": 20})
	}
	text, err := render(f.template, map[string]any{
		"node_name": h.name, "availability_zone": h.zone, "region": "region", "ip": h.ip, "bootstrap": first,
		"service": h.service, "app_address": h.addr(portBackend), "seed_nodes": seeds,
		"limits":              map[string]any{"link_mbps": f.o.linkMbps},
		"internal_port_range": map[string]any{"0": portPeers},
		"listen": map[string]any{
			"outbound": h.addr(portCallers), "ready": h.addr(portReady), "control": h.addr(portControl),
		},
		"platform": map[string]any{"address": fmt.Sprintf("%s:%d", h.storeIP, portStore)},
		"bounds":   bounds,
	})
	// The platform has nothing between its hosts, so its template does not state this address.
	peers := fmt.Sprintf(`"peers": %q,`, h.addr(portPeers))
	return strings.Replace(text, peers, peers+fmt.Sprintf(` "advertise_peers": %q,`, h.advertised()), 1), err
}

// startDaemon starts the daemon of a host.
func (f *fleet) startDaemon(h *host, first bool) error {
	settings, err := f.settings(h, first)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, h.name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p, err := f.group.Start(h.name+"-daemon", f.o.daemon, "daemon", "--settings", path)
	f.mu.Lock()
	defer f.mu.Unlock()
	h.daemon = p
	h.incarnation++
	return err
}

func (f *fleet) waitReady(ctx context.Context, h *host) error {
	for {
		resp, err := f.client.Get("http://" + h.addr(portReady) + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Newf("the daemon of %s is not ready", h.name)
		}
	}
}

// soak publishes, probes and injects faults until the run's time is over, and then goes on without
// faults until all bounds have passed.
func (f *fleet) soak(ctx context.Context) (records, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var t tomb.Tomb
	t.Go(func() error {
		t.Go(func() error { return f.operator.run(ctx) })
		t.Go(func() error { return f.watchHalts(ctx) })
		for i, h := range f.hosts {
			t.Go(func() error { return f.probeHost(ctx, h, rand.New(rand.NewPCG(f.o.seed, uint64(1000+i)))) })
		}
		defer cancel()
		if err := f.injectFaults(ctx, rand.New(rand.NewPCG(f.o.seed, 2))); err != nil {
			return err
		}
		return sleep(ctx, 2*promises.Contact+promises.Apply)
	})
	err := t.Wait()
	if err == nil {
		err = f.collectAllArrivals()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	rec := f.rec
	rec.Disruptions = slices.Clone(f.rec.Disruptions)
	return rec, err
}

// collectAllArrivals records the requests that the running servers have received.
func (f *fleet) collectAllArrivals() error {
	for _, h := range f.hosts {
		if err := f.collectArrivals(context.Background(), h); err != nil {
			return err
		}
	}
	return nil
}

// disrupt records that a host, or every host if h is nil, is disturbed until the returned function
// is called, and that the bounds do not hold there meanwhile.
func (f *fleet) disrupt(kind string, h *host) (over func()) {
	return f.recordDisruption(disruption{Kind: kind}, h)
}

// disturb is like disrupt, for a disruption that excuses nothing.
func (f *fleet) disturb(kind string, h *host) (over func()) {
	return f.recordDisruption(disruption{Kind: kind, Binding: true}, h)
}

func (f *fleet) recordDisruption(d disruption, h *host) (over func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.From = time.Now()
	if h != nil {
		d.Host = h.name
	}
	i := len(f.rec.Disruptions)
	f.rec.Disruptions = append(f.rec.Disruptions, d)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rec.Disruptions[i].To = time.Now()
	}
}

// signal sends a signal to the daemon of a host.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = h.daemon.Signal(s)
}

// command sends a command to the admin API of the store.
func (f *fleet) command(ctx context.Context, command string) error { return f.post(ctx, command, "") }

// post sends a command with a body to the admin API of the store.
func (f *fleet) post(ctx context.Context, command, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.admin+"/admin/"+command, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "command %s", command)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("command %s: the store responded with %s", command, resp.Status)
	}
	return nil
}

// sleep waits for d, or returns the error of ctx once that is done.
func sleep(ctx context.Context, d time.Duration) error {
	if !loop.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
