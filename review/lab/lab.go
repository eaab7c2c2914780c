// Package lab runs a small deployment for the cases of a review: the daemons as separate processes
// with the command and the settings template of the deploy file, the stand-in of the platform's
// store, and backend servers and clients in the process of the case.
package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/bench/network"
	"github.com/crocuscross/crocuscross/bench/procs"
	"github.com/crocuscross/crocuscross/platform/storetest"
)

// The ports of every host.
const (
	portServer  = 8145
	portCallers = 8147
	portReady   = 8141
	portControl = 8144
	portPeers   = 7380
	portStore   = 8142
)

const (
	daemonProgram = "target/crocuscross"
	templatePath  = "deploy/daemon.jsonc"
	startTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	maxSeeds      = 3
)

// The exit statuses of a case.
const (
	ExitHeld = iota
	ExitBroken
	ExitFailed
)

// Options describe a deployment.
type Options struct {
	// Services has the service of each host's backend server.
	Services []string
	Zones    int
	// Quota is whether the limits of accounts apply.
	Quota bool
	// Partitions is whether the links between hosts can be cut.
	Partitions bool
	// Bounds are added to the bounds that the template gets.
	Bounds map[string]any
	// WrapStore stands before the stand-in of the store, nil for nothing.
	WrapStore func(*Lab, http.Handler) http.Handler
}

// Lab is a running deployment.
type Lab struct {
	opts     Options
	dir      string
	group    *procs.Group
	template string
	client   *http.Client
	record   *os.File
	start    time.Time
	recordMu sync.Mutex

	Hosts   []*Host
	Network *network.Network
	// Store is the stand-in of the platform's store.
	Store *storetest.Server
}

// Host is one host with its daemon.
type Host struct {
	Name, Zone, Service string
	ip, advertised      string
	storeIP             string
	daemon              *procs.Process
}

// Callers returns the address for clients.
func (h *Host) Callers() string { return fmt.Sprintf("%s:%d", h.ip, portCallers) }

// Control returns the address for the heartbeats of the backend server.
func (h *Host) Control() string { return fmt.Sprintf("%s:%d", h.ip, portControl) }

// ServerAddress returns the address of the backend server.
func (h *Host) ServerAddress() string { return fmt.Sprintf("%s:%d", h.ip, portServer) }

// StoreIP returns the address at which the host's daemon reaches the store.
func (h *Host) StoreIP() string { return h.storeIP }

func (h *Host) readyURL() string { return fmt.Sprintf("http://%s:%d/readyz", h.ip, portReady) }

func (h *Host) peers() string { return fmt.Sprintf("%s:%d", h.ip, portPeers) }

func (h *Host) advertisedPeers() string { return fmt.Sprintf("%s:%d", h.advertised, portPeers) }

// Trouble reports whether the disruption of the case is to happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits with its status. dir is the folder of the case.
func Main(dir string, opts Options, run func(context.Context, *Lab) (broken bool, err error)) {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	l, err := newLab(dir, opts)
	if err == nil {
		err = l.startStore()
	}
	broken := false
	if err == nil {
		broken, err = run(ctx, l)
	}
	status, verdict := ExitHeld, "the rule held"
	switch {
	case err != nil:
		status, verdict = ExitFailed, "the case could not run: "+err.Error()
	case broken:
		status, verdict = ExitBroken, "the rule is broken"
	}
	if l != nil {
		l.Logf("%s", verdict)
		l.close(err != nil)
	}
	fmt.Println(verdict)
	os.Exit(status)
}

func newLab(dir string, opts Options) (*Lab, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &Lab{
		opts: opts, dir: temporary, group: procs.NewGroup(temporary), template: string(template),
		client: &http.Client{Timeout: 5 * time.Second}, record: record, start: time.Now(),
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	for i, service := range opts.Services {
		zone := i % opts.Zones
		h := &Host{
			Name: fmt.Sprintf("host-%d", i+1), Zone: fmt.Sprintf("zone-%d", zone+1), Service: service,
			ip:         fmt.Sprintf("127.%d.%d.%d", subnet, zone+1, i+1),
			advertised: fmt.Sprintf("127.%d.%d.%d", subnet, zone+101, i+1),
			storeIP:    fmt.Sprintf("127.%d.200.%d", subnet, i+1),
		}
		if !opts.Partitions {
			h.advertised = h.ip
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, nil
}

// The second bytes of the loopback addresses that a lab may use.
const (
	firstSubnet = 171
	lastSubnet  = 240
)

// freeSubnet returns a second byte of loopback addresses that no other lab uses.
func freeSubnet() (int, error) {
	const subnets = lastSubnet - firstSubnet + 1
	for i := range subnets {
		subnet := firstSubnet + (os.Getpid()+i)%subnets
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", subnet, portReady))
		if err != nil {
			continue
		}
		return subnet, ln.Close()
	}
	return 0, errors.New("no loopback addresses are free")
}

func (l *Lab) close(keepLogs bool) {
	l.group.KillAll()
	if l.Network != nil {
		_ = l.Network.Close()
	}
	_ = l.record.Close()
	if keepLogs || os.Getenv("KEEP_LOGS") == "1" {
		fmt.Println("logs of the processes:", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir)
}

// Logf writes a line with the time since the start to the record.
func (l *Lab) Logf(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time of the record at t.
func (l *Lab) Since(t time.Time) float64 { return t.Sub(l.start).Seconds() }

func (l *Lab) startStore() error {
	l.Store = storetest.NewHandler()
	var store http.Handler = published(l.Store)
	if l.opts.WrapStore != nil {
		store = l.opts.WrapStore(l, store)
	}
	var hosts []network.Host
	for _, h := range l.Hosts {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.storeIP, portStore))
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(ln, store) }()
		hosts = append(hosts, network.Host{
			Name: h.Name, Listen: netip.MustParseAddrPort(h.peers()), Advertise: netip.MustParseAddrPort(h.advertisedPeers()),
		})
	}
	if !l.opts.Partitions {
		return nil
	}
	var err error
	l.Network, err = network.New(hosts)
	return err
}

// headerEpoch is a header of the stand-in that the platform's pages do not have.
const headerEpoch = "Store-Era"

// published leaves out what the pages of the platform do not have.
func published(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { store.ServeHTTP(&publishedWriter{w}, r) })
}

type publishedWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *publishedWriter) WriteHeader(status int) {
	w.Header().Del(headerEpoch)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w *publishedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Publish writes a configuration document, as the operator does.
func (l *Lab) Publish(document any) error {
	b, err := json.Marshal(document)
	if err != nil {
		return err
	}
	l.Store.PutConfig(string(b))
	l.Logf("operator: configuration %s", b)
	return nil
}

// StartDaemon starts the daemon of a host. bootstrap is whether the whole system starts.
func (l *Lab) StartDaemon(h *Host, bootstrap bool) error {
	text, err := l.settings(h, bootstrap)
	if err != nil {
		return err
	}
	path := filepath.Join(l.dir, h.Name+".jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	h.daemon, err = l.group.Start(h.Name, daemonProgram, "daemon", "--settings", path)
	l.Logf("%s: daemon started", h.Name)
	return err
}

// KillDaemon kills the daemon of a host.
func (l *Lab) KillDaemon(h *Host) {
	h.daemon.Kill()
	l.Logf("%s: daemon killed", h.Name)
}

// Daemon returns the process of a host's daemon.
func (h *Host) Daemon() *procs.Process { return h.daemon }

// WaitReady waits until the daemon of a host is ready.
func (l *Lab) WaitReady(ctx context.Context, h *Host) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		resp, err := l.client.Get(h.readyURL())
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				l.Logf("%s: daemon ready", h.Name)
				return nil
			}
		}
		if Sleep(ctx, readyInterval) != nil {
			return fmt.Errorf("the daemon of %s is not ready", h.Name)
		}
	}
}

// Start starts all daemons and waits until they are ready.
func (l *Lab) Start(ctx context.Context) error {
	for _, h := range l.Hosts {
		if err := l.StartDaemon(h, true); err != nil {
			return err
		}
	}
	for _, h := range l.Hosts {
		if err := l.WaitReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settings renders the template as the platform does.
func (l *Lab) settings(h *Host, bootstrap bool) (string, error) {
	seeds := []string{}
	for _, other := range l.Hosts {
		if !bootstrap && other != h && len(seeds) < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.advertised, portControl))
		}
	}
	bounds := map[string]any{"retry_budget_ratio": 0.2, "budget_extra_tries": 64, "grace": 6}
	if l.opts.Quota {
		bounds["quota_window"], bounds["quota_overage"], bounds["quota_slack"] = 5, 0.1, 20
	}
	for k, v := range l.opts.Bounds {
		bounds[k] = v
	}
	text, err := render(l.template, map[string]any{
		"node_name": h.Name, "availability_zone": h.Zone, "region": "region", "ip": h.ip, "bootstrap": bootstrap,
		"service": h.Service, "app_address": h.ServerAddress(), "seed_nodes": seeds,
		"limits":              map[string]any{"link_mbps": 1000},
		"internal_port_range": map[string]any{"0": portPeers},
		"listen": map[string]any{
			"outbound": h.Callers(), "ready": fmt.Sprintf("%s:%d", h.ip, portReady), "control": h.Control(),
		},
		"platform": map[string]any{"address": fmt.Sprintf("%s:%d", h.storeIP, portStore)},
		"bounds":   bounds,
	})
	if err != nil || !l.opts.Partitions {
		return text, err
	}
	// The network of the lab stands between the hosts.
	peers := fmt.Sprintf(`"peers": %q,`, h.peers())
	if !strings.Contains(text, peers) {
		return "", errors.New("the template has no address for peers")
	}
	return strings.Replace(text, peers, peers+fmt.Sprintf(` "advertise_peers": %q,`, h.advertisedPeers()), 1), nil
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template as far as deploy/daemon.jsonc uses the platform's syntax.
func render(template string, fields map[string]any) (string, error) {
	out := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		v, ok := lookup(fields, m[2])
		if present := ok && v != false; present != (m[1] == "#") {
			return ""
		}
		return m[3]
	})
	out = placeholderPattern.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholderPattern.FindStringSubmatch(s)
		v, ok := lookup(fields, m[1])
		switch {
		case !ok:
			return ""
		case m[2] == "":
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	if i := strings.Index(out, "{{"); i >= 0 {
		return "", fmt.Errorf("a placeholder of the template is not understood: %.40q", out[i:])
	}
	return out, nil
}

func lookup(fields map[string]any, path string) (any, bool) {
	var v any = fields
	for key := range strings.SplitSeq(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil, false
		}
		if v, ok = m[key]; !ok {
			return nil, false
		}
	}
	return v, true
}
