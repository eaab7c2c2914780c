package main

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/bench/network"
	"github.com/crocuscross/crocuscross/bench/trial"
)

const (
	subnet          = "127.143"
	advertiseSubnet = "127.144"

	serviceTime = 5 * time.Millisecond
	// stopLimit bounds a planned stop: the drain timeout of the daemons and the
	// time that a process may take to end.
	stopLimit = 40 * time.Second
)

// Reasons of absences.
const (
	whyDead     = "dead"
	whyPaused   = "paused"
	whyCut      = "cut off"
	whyPlatform = "platform down"
)

// deployment is the system under trial with everything that watches it.
type deployment struct {
	*trial.Trial
	opts   options
	net    *network.Network
	ledger *ledger
	runs   *executions
	ops    *operators
	// spare is the host without a backend server.
	spare *trial.Host
	http  *http.Client
}

// start starts all processes and waits until they serve.
func start(ctx context.Context, o options) (*deployment, error) {
	d := &deployment{opts: o, ledger: newLedger(), http: &http.Client{Timeout: 2 * time.Second}}
	var err error
	d.Trial, err = trial.Start(ctx, trial.Options{
		Hosts: o.hosts + 1, Zones: zones, ServiceTime: serviceTime, Record: true, OwnKeys: true,
		ServiceOf: o.serviceOf, Changes: firstChanges(),
		Subnet: subnet, AdvertiseSubnet: advertiseSubnet, Daemon: o.daemon, Standin: o.standin,
		Prepare: d.prepare,
	})
	if err != nil {
		return nil, errors.CombineErrors(err, d.closeNetwork())
	}
	d.spare = d.Hosts[o.hosts]
	d.runs = newExecutions(d.Trial)
	d.ops = newOperators(d)
	return d, nil
}

// prepare puts the network between the hosts and begins their records.
func (d *deployment) prepare(hosts []*trial.Host) error {
	var list []network.Host
	services := map[string]string{}
	for _, h := range hosts {
		listen, err := netip.ParseAddrPort(h.Peers())
		if err != nil {
			return err
		}
		advertise, err := netip.ParseAddrPort(h.Advertise())
		if err != nil {
			return err
		}
		list = append(list, network.Host{Name: h.Name, Listen: listen, Advertise: advertise})
		services[h.Name] = h.Service
		d.ledger.newLife(h.Name)
	}
	d.ledger.update(func(r *checker.Records) { r.Services, r.Routes = services, routesWatched() })
	var err error
	d.net, err = network.New(list)
	return err
}

func (d *deployment) closeNetwork() error {
	if d.net == nil {
		return nil
	}
	return d.net.Close()
}

// close ends all processes. The folder with their logs stays if it is asked for.
func (d *deployment) close(keep bool) {
	d.Group.KillAll()
	_ = d.closeNetwork()
	if !keep {
		_ = os.RemoveAll(d.Dir)
	}
}

// kill ends a host's daemon without a word.
func (d *deployment) kill(h *trial.Host) {
	d.ledger.away(h.Name, whyDead)
	h.Daemon.Kill()
	d.ledger.back(h.Name, whyPaused)
}

// restart starts the daemon of a host where it does not run.
func (d *deployment) restart(h *trial.Host) error {
	if h.Daemon.Running() {
		return nil
	}
	d.ledger.newLife(h.Name)
	defer d.ledger.back(h.Name, whyDead)
	return d.StartDaemon(h)
}

// pause stops a daemon's process where it stands.
func (d *deployment) pause(h *trial.Host) error {
	d.ledger.away(h.Name, whyPaused)
	return h.Daemon.Signal(syscall.SIGSTOP)
}

// resume wakes a daemon that was paused.
func (d *deployment) resume(h *trial.Host) error {
	defer d.ledger.back(h.Name, whyPaused)
	if !h.Daemon.Running() {
		return nil
	}
	return h.Daemon.Signal(syscall.SIGCONT)
}

// cutWay loses what one host sends to all others, or the other way round. The
// host counts as absent meanwhile: it can exchange nothing with the others.
func (d *deployment) cutWay(h *trial.Host, hears bool) {
	d.ledger.away(h.Name, whyCut)
	for _, o := range d.Hosts {
		if hears {
			d.net.CutWay(h.Name, o.Name)
		} else {
			d.net.CutWay(o.Name, h.Name)
		}
	}
}

// heal ends all cuts.
func (d *deployment) heal() {
	d.net.Heal()
	for _, h := range d.Hosts {
		d.ledger.back(h.Name, whyCut)
	}
}

// zone returns the hosts of an availability zone, and all others.
func (d *deployment) zone(name string) (in, out []*trial.Host) {
	for _, h := range d.Hosts {
		if h.AvailabilityZone == name {
			in = append(in, h)
		} else {
			out = append(out, h)
		}
	}
	return in, out
}

func names(hosts []*trial.Host) []string {
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.Name)
	}
	return list
}

// without returns the hosts but one.
func without(hosts []*trial.Host, h *trial.Host) []*trial.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(o *trial.Host) bool { return o == h })
}

// platform sends an admin command to the log's stand-in.
func (d *deployment) platform(ctx context.Context, command string, args url.Values) error {
	return d.admin(ctx, d.LogURL+"/admin/"+command, args)
}

// backend sends an admin command to a host's backend server.
func (d *deployment) backend(ctx context.Context, h *trial.Host, command string, args url.Values) error {
	return d.admin(ctx, h.BackendURL()+"/admin/"+command, args)
}

func (d *deployment) admin(ctx context.Context, u string, args url.Values) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u+"?"+args.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "admin command")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", u, resp.Status)
	}
	return nil
}
