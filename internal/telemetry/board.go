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

// Labels of what the blackboard tells.
const (
	labelLiveness = "liveness"
	labelPhase    = "phase"
	labelService  = "service"
	labelState    = "state"
)

// States of a known backend server.
const (
	backendAvailable = "available"
	backendSuspect   = "suspect"
	backendDraining  = "draining"
)

var (
	phases     = []blackboard.Phase{blackboard.Joining, blackboard.Serving, blackboard.Draining, blackboard.Leaving, blackboard.Stopped}
	livenesses = []membership.Liveness{membership.Alive, membership.Suspect, membership.Dead, membership.Left}
)

// BoardCollector tells a daemon's state from its blackboard at each scrape, so
// that no controller has to keep a gauge in step with its cell.
type BoardCollector struct {
	board *blackboard.Board
	now   func() time.Time

	known, lag, inForce, stuck *prometheus.Desc
	documentVersion            *prometheus.Desc
	floor, floorKnown          *prometheus.Desc
	withheld                   *prometheus.Desc
	reader, logFailing         *prometheus.Desc
	phase                      *prometheus.Desc
	members, draining, servers *prometheus.Desc
	rollout                    *prometheus.Desc
	localSlots                 *prometheus.Desc
}

// NewBoardCollector returns a collector for the caller to register.
func NewBoardCollector(board *blackboard.Board) *BoardCollector {
	return &BoardCollector{
		board: board,
		now:   time.Now,

		known:           newDesc("config_known_offset", "Highest configuration offset that this daemon has heard of."),
		lag:             newDesc("config_lag", "Configuration offsets known and not in force here."),
		inForce:         newDesc("config_in_force", "Whether any configuration is in force here."),
		documentVersion: newDesc("config_document_version", "The operator's version of the document in force, 0 without one."),
		stuck:           newDesc("config_stuck", "Whether the daemon must stay at its version: an unknown rule, a log that went back, a floor that is not known."),
		floor:           newDesc("config_floor_offset", "Version below which this daemon does not serve."),
		floorKnown:      newDesc("config_floor_known", "Whether a restarted daemon has learned its floor."),
		withheld:        newDesc("routes_withheld", "Routes that wait for a backend server."),
		reader:          newDesc("log_reader", "Whether this daemon reads the platform's log for its availability zone."),
		logFailing:      newDesc("log_failing_seconds", "Time since reads of the platform's log began to fail, 0 while they go well."),
		phase:           newDesc("phase", "1 for the daemon's phase, 0 for the others.", labelPhase),
		members:         newDesc("members", "Daemons in the member table, this one included, by liveness.", labelLiveness),
		draining:        newDesc("members_draining", "Daemons alive or suspect that drain."),
		servers:         newDesc("backend_servers", "Backend servers known of each configured service.", labelService, labelState),
		rollout:         newDesc("rollout_withheld", "Whether a rollout keeps calls from the backend server beside this daemon."),
		localSlots:      newDesc("local_slots", "Slots announced by the backend server beside this daemon, 0 without one."),
	}
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *BoardCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.known, c.lag, c.inForce, c.documentVersion, c.stuck, c.floor, c.floorKnown, c.withheld,
		c.reader, c.logFailing, c.phase, c.members, c.draining, c.servers, c.localSlots, c.rollout,
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

func (c *BoardCollector) collectConfig(out emitter) {
	var offset, version uint64
	snap := c.board.Snapshot.Load()
	if snap != nil {
		offset, version = snap.Offset, snap.Document().VersionOrZero()
		out.gauge(c.withheld, float64(len(snap.Withheld)))
	}
	known := offset
	if src := c.board.Source.Load(); src != nil {
		known = max(known, src.KnownOffset)
	}
	out.gauge(c.inForce, flag(snap != nil))
	out.gauge(c.documentVersion, float64(version))
	out.gauge(c.known, float64(known))
	out.gauge(c.lag, float64(eventlog.RecordsBetween(offset, known)))
}

func (c *BoardCollector) collectSource(out emitter) {
	src, floor := c.board.Source.Load(), c.board.Floor.Load()
	if src == nil {
		src = &blackboard.Source{}
	}
	if floor == nil {
		floor = &blackboard.Floor{}
	}
	out.gauge(c.floor, float64(floor.Offset))
	out.gauge(c.floorKnown, flag(floor.Known))
	out.gauge(c.stuck, flag(src.StuckReason != "" || floor.Reason != "" && !floor.Known))
	out.gauge(c.reader, flag(src.Reader))
	failing := time.Duration(0)
	if src.LogError != "" {
		failing = c.now().Sub(src.LogErrorSince)
	}
	out.gauge(c.logFailing, failing.Seconds())
}

func (c *BoardCollector) collectLifecycle(out emitter) {
	current := blackboard.Joining
	if l := c.board.Lifecycle.Load(); l != nil {
		current = l.Phase
	}
	for _, p := range phases {
		out.gauge(c.phase, flag(p == current), p.String())
	}
	slots := 0
	if local := c.board.Local.Load(); local != nil {
		slots = local.Slots
	}
	out.gauge(c.localSlots, float64(slots))
	withheld := c.board.Withheld.Load()
	out.gauge(c.rollout, flag(withheld != nil && *withheld))
}

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
	out.gauge(c.draining, float64(draining))
}

// collectServers counts for each service that is configured, so that one
// without any backend server shows as 0 rather than not at all.
func (c *BoardCollector) collectServers(out emitter) {
	snap := c.board.Snapshot.Load()
	if snap == nil {
		return
	}
	servers := c.board.Backends.Load()
	for _, e := range snap.State.Entries(fold.KindService) {
		count := make(map[string]int)
		for _, s := range servers.ForService(e.Key.Name) {
			count[stateOf(s)]++
		}
		for _, state := range []string{backendAvailable, backendSuspect, backendDraining} {
			out.gauge(c.servers, float64(count[state]), e.Key.Name, state)
		}
	}
}

func stateOf(s *backend.Server) string {
	switch {
	case s.Draining:
		return backendDraining
	case s.Suspect:
		return backendSuspect
	}
	return backendAvailable
}

// emitter sends metrics to a scrape.
type emitter chan<- prometheus.Metric

func (e emitter) gauge(d *prometheus.Desc, v float64, labels ...string) {
	e <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (e emitter) counter(d *prometheus.Desc, v float64, labels ...string) {
	e <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
