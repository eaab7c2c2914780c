package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
)

// Labels of the metrics that are read from the blackboard.
const (
	labelLiveness = "liveness"
	labelPhase    = "phase"
	labelService  = "service"
	labelState    = "state"
)

// Values of the state label of backend_servers.
const (
	backendAvailable = "available"
	backendSuspect   = "suspect"
	backendDraining  = "draining"
)

// Label values that every scrape includes, also at 0.
var (
	phases     = []blackboard.Phase{blackboard.Joining, blackboard.Serving, blackboard.Draining, blackboard.Leaving, blackboard.Stopped}
	livenesses = []membership.Liveness{membership.Alive, membership.Suspect, membership.Dead, membership.Left}
)

// BoardCollector exports a daemon's state as metrics. It reads the blackboard at each scrape, so
// that controllers don't have to keep gauges consistent with their cells.
type BoardCollector struct {
	board *blackboard.Board
	now   func() time.Time

	known, lag, inForce, stuck        *prometheus.Desc
	documentVersion                   *prometheus.Desc
	floorOffset, floorKnown           *prometheus.Desc
	withheldRoutes                    *prometheus.Desc
	logReader, logFailing             *prometheus.Desc
	phase                             *prometheus.Desc
	members, membersDraining, servers *prometheus.Desc
	rolloutWithheld                   *prometheus.Desc
	localSlots                        *prometheus.Desc
}

// NewBoardCollector returns a collector of the state on board. The caller registers it.
func NewBoardCollector(board *blackboard.Board) *BoardCollector {
	return &BoardCollector{
		board: board,
		now:   time.Now,

		known:           newDesc("config_known_offset", "Highest configuration offset that this daemon knows of."),
		lag:             newDesc("config_lag", "Number of configuration records that this daemon knows of and that are not in force on it yet."),
		inForce:         newDesc("config_in_force", "Whether any configuration is in force on this daemon."),
		documentVersion: newDesc("config_document_version", "Operator's version number of the configuration document in force, 0 if there is none."),
		stuck:           newDesc("config_stuck", "Whether the daemon cannot advance its configuration: a record requires an unknown rule, the log was restored from an older copy, or the floor is unknown."),
		floorOffset:     newDesc("config_floor_offset", "Lowest configuration offset at which this daemon serves."),
		floorKnown:      newDesc("config_floor_known", "Whether this daemon has determined its floor since its start."),
		withheldRoutes:  newDesc("routes_withheld", "Routes that are not in force until a backend server of their service is known."),
		logReader:       newDesc("log_reader", "Whether this daemon reads the platform's log for its availability zone."),
		logFailing:      newDesc("log_failing_seconds", "Time in seconds for which reads of the platform's log have been failing, 0 while they succeed."),
		phase:           newDesc("phase", "1 for the daemon's current lifecycle phase, 0 for the others.", labelPhase),
		members:         newDesc("members", "Daemons in the member table, including this one, by liveness.", labelLiveness),
		membersDraining: newDesc("members_draining", "Alive or suspect daemons that are draining."),
		servers:         newDesc("backend_servers", "Known backend servers of each configured service, by state.", labelService, labelState),
		rolloutWithheld: newDesc("rollout_withheld", "Whether a rollout withholds calls from this daemon's backend server."),
		localSlots:      newDesc("local_slots", "Slots announced by this daemon's backend server, 0 if there is none."),
	}
}

// newDesc returns the description of a metric, whose name gets the project's prefix.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *BoardCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.known, c.lag, c.inForce, c.documentVersion, c.stuck, c.floorOffset, c.floorKnown, c.withheldRoutes,
		c.logReader, c.logFailing, c.phase, c.members, c.membersDraining, c.servers, c.localSlots, c.rolloutWithheld,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *BoardCollector) Collect(ch chan<- prometheus.Metric) {
	out := emitter(ch)
	c.collectConfig(out)
	c.collectSource(out)
	c.collectLifecycle(out)
	c.collectMembers(out)
	c.collectServers(out)
}

// collectConfig emits the configuration in force and its lag behind the known offset.
func (c *BoardCollector) collectConfig(out emitter) {
	var offset, version uint64
	snap := c.board.Snapshot.Load()
	if snap != nil {
		offset, version = snap.Offset, snap.Document().VersionOrZero()
		out.gauge(c.withheldRoutes, float64(len(snap.Withheld)))
	}
	known := offset
	if src := c.board.Source.Load(); src != nil {
		known = max(known, src.KnownOffset)
	}
	out.gauge(c.inForce, boolValue(snap != nil))
	out.gauge(c.documentVersion, float64(version))
	out.gauge(c.known, float64(known))
	out.gauge(c.lag, float64(eventlog.RecordsBetween(offset, known)))
}

// collectSource emits the floor and the status of configuration distribution.
func (c *BoardCollector) collectSource(out emitter) {
	src, floor := c.board.Source.Load(), c.board.Floor.Load()
	if src == nil {
		src = &blackboard.Source{}
	}
	if floor == nil {
		floor = &blackboard.Floor{}
	}
	out.gauge(c.floorOffset, float64(floor.Offset))
	out.gauge(c.floorKnown, boolValue(floor.Known))
	out.gauge(c.stuck, boolValue(src.StuckReason != "" || floor.Reason != "" && !floor.Known))
	out.gauge(c.logReader, boolValue(src.Reader))
	failing := time.Duration(0)
	if src.LogError != "" {
		failing = c.now().Sub(src.LogErrorSince)
	}
	out.gauge(c.logFailing, failing.Seconds())
}

// collectLifecycle emits the daemon's phase and the state of its backend server.
func (c *BoardCollector) collectLifecycle(out emitter) {
	current := blackboard.Joining
	if l := c.board.Lifecycle.Load(); l != nil {
		current = l.Phase
	}
	for _, p := range phases {
		out.gauge(c.phase, boolValue(p == current), p.String())
	}
	slots := 0
	if local := c.board.Local.Load(); local != nil {
		slots = local.Slots
	}
	out.gauge(c.localSlots, float64(slots))
	withheld := c.board.Withheld.Load()
	out.gauge(c.rolloutWithheld, boolValue(withheld != nil && *withheld))
}

// collectMembers emits the numbers of daemons in the member table.
func (c *BoardCollector) collectMembers(out emitter) {
	view := c.board.Members.Load()
	if view == nil {
		return
	}
	count := make(map[membership.Liveness]int)
	draining := 0
	for _, m := range view.Members {
		count[m.Liveness]++
		if m.Draining && m.Usable() {
			draining++
		}
	}
	for _, l := range livenesses {
		out.gauge(c.members, float64(count[l]), l.String())
	}
	out.gauge(c.membersDraining, float64(draining))
}

// collectServers emits the number of backend servers of each configured service. A service without
// any backend server is exported as 0 rather than left out.
func (c *BoardCollector) collectServers(out emitter) {
	snap := c.board.Snapshot.Load()
	if snap == nil {
		return
	}
	servers := c.board.Backends.Load()
	for _, e := range snap.State.Entries(fold.KindService) {
		count := make(map[string]int)
		for _, s := range servers.ForService(e.Key.Name) {
			count[serverState(s)]++
		}
		for _, state := range []string{backendAvailable, backendSuspect, backendDraining} {
			out.gauge(c.servers, float64(count[state]), e.Key.Name, state)
		}
	}
}

// serverState returns the state label of s. Draining takes precedence over suspect.
func serverState(s *backend.Server) string {
	switch {
	case s.Draining:
		return backendDraining
	case s.Suspect:
		return backendSuspect
	}
	return backendAvailable
}

// emitter sends the metrics of one scrape.
type emitter chan<- prometheus.Metric

func (e emitter) gauge(d *prometheus.Desc, value float64, labels ...string) {
	e <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func (e emitter) counter(d *prometheus.Desc, value float64, labels ...string) {
	e <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, labels...)
}

// boolValue returns the metric value of b, 1 for true.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
