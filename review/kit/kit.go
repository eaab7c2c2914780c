// Package kit runs a small deployment of crocuscross for the cases under review: real daemons as
// processes of their own, and stand-ins of the platform's store, of targets and of clients in this
// process. The stand-ins follow the platform's pages, in the names that deploy/wire.toml gives to
// the platform's messages.
package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/bench/network"
	"github.com/crocuscross/crocuscross/bench/procs"
	"github.com/crocuscross/crocuscross/platform/storetest"
)

// The exit statuses of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Ports of every host.
const (
	portTarget   = 8145
	portOutbound = 8147
	portReady    = 8141
	portControl  = 8144
	portPeers    = 7380
	portStore    = 8142
)

// Heartbeat is the time between two heartbeats of a target.
const Heartbeat = 1500 * time.Millisecond

const readyTimeout = 20 * time.Second

// Options describe a deployment.
type Options struct {
	// Services holds the service of each host's target.
	Services []string
	// Zones is the number of zones that the hosts are spread over.
	Zones int
	// Bounds are the bounds in the settings, beside those of every deployment.
	Bounds map[string]any
	// Born makes targets state when they started.
	Born bool
	// Proxied puts a proxy between each two daemons, so that machines can be cut off.
	Proxied bool
}

// Deployment is a running deployment.
type Deployment struct {
	Hosts  []*Host
	Store  *storetest.Server
	Record *Record

	root, dir string
	opts      Options
	subnet    string
	group     *procs.Group
	storeHTTP *http.Server
	proxy     *network.Network
	settings  string
}

// Host is one machine with its daemon.
type Host struct {
	Name, Zone, IP, Service string

	d      *Deployment
	mu     sync.Mutex
	daemon *procs.Process
	starts int
	// reads are the times of this host's calls to the store for the operator's records.
	reads []time.Time
}

// Trouble reports whether the case is to cause its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits with its status.
func Main(opts Options, run func(*Deployment) (broken bool, err error)) {
	d, err := start(opts)
	if err == nil {
		var broken bool
		broken, err = run(d)
		d.Close()
		if err == nil {
			d.Record.Log("result", "broken", broken)
			if broken {
				os.Exit(ExitBroken)
			}
			os.Exit(ExitHeld)
		}
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(ExitNotRun)
}

// start starts the store and the daemons. The root of the repository is the working folder, and the
// environment variable RECORD names the record.
func start(opts Options) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/daemon.jsonc")
	if err != nil {
		return nil, err
	}
	record, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	d := &Deployment{root: ".", dir: dir, opts: opts, group: procs.NewGroup(dir), Record: record, settings: string(template)}
	if err := d.startAll(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startAll() error {
	if err := d.pickSubnet(); err != nil {
		return err
	}
	d.Store = storetest.NewHandler()
	d.storeHTTP = &http.Server{Handler: http.HandlerFunc(d.serveStore), ReadHeaderTimeout: 10 * time.Second}
	for i, service := range d.opts.Services {
		zone := i%max(1, d.opts.Zones) + 1
		d.Hosts = append(d.Hosts, &Host{
			Name: fmt.Sprintf("host-%d", i+1), Zone: fmt.Sprintf("zone-%d", zone), Service: service,
			IP: fmt.Sprintf("%s.%d.%d", d.subnet, zone, i+1), d: d,
		})
	}
	if err := d.startProxy(); err != nil {
		return err
	}
	for _, h := range d.Hosts {
		ln, err := net.Listen("tcp", h.storeAddress())
		if err != nil {
			return err
		}
		go func() { _ = d.storeHTTP.Serve(ln) }()
	}
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

// startProxy starts the proxy between the daemons, if there is to be one.
func (d *Deployment) startProxy() error {
	if !d.opts.Proxied {
		return nil
	}
	var hosts []network.Host
	for _, h := range d.Hosts {
		hosts = append(hosts, network.Host{
			Name: h.Name, Listen: netip.MustParseAddrPort(h.addr(portPeers)), Advertise: netip.MustParseAddrPort(h.proxyAddress()),
		})
	}
	var err error
	d.proxy, err = network.New(hosts)
	return err
}

// proxyAddress is where other daemons reach the daemon through the proxy.
func (h *Host) proxyAddress() string {
	_, host, _ := strings.Cut(h.Name, "-")
	return fmt.Sprintf("%s.201.%s:%d", h.d.subnet, host, portPeers)
}

// CutOff drops all that the daemon and the others send each other, until Heal.
func (h *Host) CutOff() {
	h.d.Record.Log("machine cut off from the others", "host", h.Name)
	var others []string
	for _, o := range h.d.Hosts {
		if o != h {
			others = append(others, o.Name)
		}
	}
	h.d.proxy.Cut([]string{h.Name}, others)
}

// Heal ends all cuts.
func (d *Deployment) Heal() {
	d.Record.Log("the cut heals")
	d.proxy.Heal()
}

// pickSubnet finds a loopback subnet whose addresses are free.
func (d *Deployment) pickSubnet() error {
	for range 40 {
		d.subnet = fmt.Sprintf("127.%d", 64+rand.IntN(90))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.200.1:%d", d.subnet, portStore))
		if err == nil {
			return ln.Close()
		}
	}
	return errors.New("no free loopback subnet")
}

// storeAddress is where the host reaches the store. Each host has an address of its own, which tells
// the store who calls.
func (h *Host) storeAddress() string {
	_, host, _ := strings.Cut(h.Name, "-")
	return fmt.Sprintf("%s.200.%s:%d", h.d.subnet, host, portStore)
}

// serveStore notes which host reads the operator's records.
func (d *Deployment) serveStore(w http.ResponseWriter, r *http.Request) {
	if at, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok && r.URL.Path == "/api/log-read" && r.URL.Query().Get("topic") == "keyed.op" {
		for _, h := range d.Hosts {
			if h.storeAddress() == at.String() {
				h.mu.Lock()
				h.reads = append(h.reads, time.Now())
				h.mu.Unlock()
			}
		}
	}
	d.Store.ServeHTTP(w, r)
}

// Readers returns the hosts that have read the operator's records at least n times within a time.
func (d *Deployment) Readers(n int, within time.Duration) []*Host {
	var list []*Host
	for _, h := range d.Hosts {
		h.mu.Lock()
		recent := 0
		for _, at := range h.reads {
			if time.Since(at) < within {
				recent++
			}
		}
		if recent >= n {
			list = append(list, h)
			d.Record.Log("store: reads the operator's records", "host", h.Name, "zone", h.Zone, "reads", recent, "within", within)
		}
		h.mu.Unlock()
	}
	return list
}

// Close ends all processes and removes their folder, unless KEEP is set.
func (d *Deployment) Close() {
	d.group.KillAll()
	if d.proxy != nil {
		_ = d.proxy.Close()
	}
	if d.storeHTTP != nil {
		_ = d.storeHTTP.Close()
	}
	d.Record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs of the daemons:", d.dir)
	}
}

// Publish writes a configuration, as the operator does, and returns the time of its acknowledgement.
func (d *Deployment) Publish(c Config) time.Time {
	text, _ := json.Marshal(c)
	d.Store.PutConfig(string(text))
	d.Record.Log("operator: configuration acknowledged", "version", c.Version)
	return time.Now()
}

// AwaitReady waits until all daemons count as ready.
func (d *Deployment) AwaitReady() error {
	for _, h := range d.Hosts {
		if err := h.AwaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) addr(port int) string { return fmt.Sprintf("%s:%d", h.IP, port) }

// TargetAddress is where the host's target accepts requests.
func (h *Host) TargetAddress() string { return h.addr(portTarget) }

// Start starts the daemon with the command of the deploy file.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	text, err := render(h.d.settings, h.fields())
	if err != nil {
		return err
	}
	if h.d.opts.Proxied {
		peers := fmt.Sprintf("%q: %q,", "peers", h.addr(portPeers))
		text = strings.Replace(text, peers, fmt.Sprintf("%s %q: %q,", peers, "advertise_peers", h.proxyAddress()), 1)
	}
	path := filepath.Join(h.d.dir, h.Name+".jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := h.d.group.Start(h.Name, filepath.Join(h.d.root, "target/crocuscross"), "daemon", "--settings", path)
	h.daemon = p
	h.starts++
	h.d.Record.Log("daemon started", "host", h.Name, "start", h.starts)
	return err
}

// fields are the platform's fields for the settings of the daemon.
func (h *Host) fields() map[string]any {
	bounds := map[string]any{"retry_budget_ratio": 0.2, "budget_extra_tries": 64, "grace": 6}
	for k, v := range h.d.opts.Bounds {
		bounds[k] = v
	}
	seeds := []string{}
	for _, other := range h.d.Hosts {
		if h.starts > 0 && other != h && len(seeds) < 3 {
			seeds = append(seeds, other.addr(portControl))
		}
	}
	return map[string]any{
		"node_name": h.Name, "availability_zone": h.Zone, "region": "region", "ip": h.IP, "bootstrap": h.starts == 0,
		"service": h.Service, "app_address": h.TargetAddress(), "seed_nodes": seeds,
		"limits":              map[string]any{"link_mbps": 1000},
		"internal_port_range": map[string]any{"0": portPeers},
		"listen": map[string]any{
			"outbound": h.addr(portOutbound), "ready": h.addr(portReady), "control": h.addr(portControl),
		},
		"platform": map[string]any{"address": h.storeAddress()},
		"bounds":   bounds,
	}
}

// Kill ends the daemon at once.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.d.Record.Log("daemon killed", "host", h.Name)
	h.daemon.Kill()
}

// Ready reports whether the daemon answers the platform's question with 200.
func (h *Host) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.addr(portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the daemon is ready.
func (h *Host) AwaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.Ready() {
			h.d.Record.Log("daemon ready", "host", h.Name)
			return nil
		}
	}
	return fmt.Errorf("the daemon of %s is not ready", h.Name)
}

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	if path == "" {
		return nil, errors.New("RECORD names no file")
	}
	f, err := os.Create(path)
	return &Record{f: f, start: time.Now()}, err
}

// Log writes a line: the seconds since the start, a text, and pairs of names and values.
func (r *Record) Log(text string, pairs ...any) { r.LogAt(time.Now(), text, pairs...) }

// LogAt is like Log for an event at another time.
func (r *Record) LogAt(at time.Time, text string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", at.Sub(r.start).Seconds(), text)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.f.WriteString(b.String())
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.f.Sync()
}
