package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/fleet"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/rollout"
)

// Fleet queries and drains the daemons of the fleet. See fleet.Fleet.
type Fleet interface {
	// Self returns the status of this daemon.
	Self() *peerpb.StatusAnswer
	// Status returns a report on each member of the fleet.
	Status(ctx context.Context) []fleet.Report
	// Converge waits until the version offset is in force everywhere or ctx is done. Times are
	// measured from start.
	Converge(ctx context.Context, offset uint64, start time.Time) fleet.Convergence
	// Drain asks the target daemons to begin a graceful shutdown.
	Drain(ctx context.Context, target fleet.Target, reason string) ([]fleet.DrainResult, error)
}

// Options holds the dependencies and settings of the handler.
type Options struct {
	Board *blackboard.Board
	Fleet Fleet
	// Metrics serves PathMetrics.
	Metrics http.Handler
	Logger  *slog.Logger
	// Quarantine tracks the requests that are not sent to backend servers.
	Quarantine Quarantine
	// Rollouts returns the status of the rollouts that this daemon decides on. It is nil if the
	// daemon does not decide on rollouts.
	Rollouts func() []rollout.Status
	// NeedDocument is whether the daemon is ready only when a configuration document is in
	// force.
	NeedDocument bool
}

// New returns the handler of the operator API.
func New(opts Options) http.Handler {
	h := &handler{opts: opts}
	r := bunrouter.New(
		bunrouter.Use(writeErrors(opts.Logger)),
		bunrouter.WithNotFoundHandler(notFound),
		bunrouter.WithMethodNotAllowedHandler(methodNotAllowed),
	)
	r.GET(pathStatus, h.status)
	r.GET(pathStatusSelf, h.statusSelf)
	r.GET(pathState, h.state)
	r.GET(pathConvergence, h.convergence)
	r.POST(pathDrain, h.drain)
	r.GET(pathRollouts, h.rollouts)
	r.GET(pathQuarantine, h.listQuarantined)
	r.DELETE(pathQuarantine+"/:"+paramIdentity, h.liftQuarantine)
	r.GET(PathMetrics, bunrouter.HTTPHandler(opts.Metrics))
	r.GET(pathHealthz, h.healthz)
	r.GET(pathReadyz, h.readyz)
	addProfileRoutes(r)
	return r
}

// addProfileRoutes adds the routes of the profiles of the Go runtime, which show the CPU time and
// memory that the daemon uses.
func addProfileRoutes(r *bunrouter.Router) {
	for path, serve := range map[string]http.HandlerFunc{
		pathProfiles + "/profile": pprof.Profile,
		pathProfiles + "/trace":   pprof.Trace,
		pathProfiles + "/cmdline": pprof.Cmdline,
	} {
		r.GET(path, bunrouter.HTTPHandlerFunc(serve))
	}
	for _, name := range []string{"heap", "allocs", "goroutine", "mutex", "block"} {
		r.GET(pathProfiles+"/"+name, bunrouter.HTTPHandler(pprof.Handler(name)))
	}
}

type handler struct {
	opts Options
}

// writeErrors returns a middleware that writes the error of a handler as an error response and logs
// it if it is internal.
func writeErrors(logger *slog.Logger) bunrouter.MiddlewareFunc {
	return func(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
		return func(w http.ResponseWriter, req bunrouter.Request) error {
			err := next(w, req)
			if err == nil {
				return nil
			}
			if errkind.Of(err) == errkind.Internal {
				logger.Error("operator: request failed", "path", req.URL.Path, "error", err)
			}
			answer.Write(w, err)
			return nil
		}
	}
}

func notFound(_ http.ResponseWriter, req bunrouter.Request) error {
	return errkind.Newf(errkind.NoRoute, "the operator API has no path %s", req.URL.Path)
}

func methodNotAllowed(_ http.ResponseWriter, req bunrouter.Request) error {
	return errkind.Newf(errkind.BadRequest, "%s does not support method %s", req.URL.Path, req.Method)
}

func (h *handler) status(w http.ResponseWriter, req bunrouter.Request) error {
	ctx, cancel := context.WithTimeout(req.Context(), statusTimeout)
	defer cancel()
	self := h.opts.Fleet.Self()
	return writeJSON(w, newFleetStatus(self.GetHost(), h.opts.Fleet.Status(ctx)))
}

func (h *handler) statusSelf(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeMessage(w, h.opts.Fleet.Self())
}

// state responds with the state that the daemon has folded from the configuration records.
func (h *handler) state(w http.ResponseWriter, _ bunrouter.Request) error {
	st := h.opts.Board.State.Load()
	if st == nil {
		return errkind.New(errkind.NotReady, "no configuration has been folded yet")
	}
	return writeMessage(w, st.Encode())
}

// convergence waits until a version is in force everywhere. If the wait ends earlier, it responds
// with the progress so far, not with an error.
func (h *handler) convergence(w http.ResponseWriter, req bunrouter.Request) error {
	q := req.URL.Query()
	offset, err := strconv.ParseUint(q.Get("offset"), 10, 64)
	if err != nil || offset == 0 {
		return errkind.New(errkind.BadRequest, "offset must be a configuration version, an integer greater than 0")
	}
	wait, err := durationParam(q.Get("wait"), DefaultWait, MaxWait)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "wait")
	}
	elapsed, err := durationParam(q.Get("elapsed"), 0, maxElapsed)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "elapsed")
	}
	ctx, cancel := context.WithTimeout(req.Context(), wait)
	defer cancel()
	c := h.opts.Fleet.Converge(ctx, offset, time.Now().Add(-elapsed))
	return writeJSON(w, newConvergence(c))
}

// durationParam parses a duration from 0 to limit. An empty s yields def.
func durationParam(s string, def, limit time.Duration) (time.Duration, error) {
	if s == "" {
		return def, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > limit {
		return 0, errors.Newf("%q is not a duration from 0s to %s", s, limit)
	}
	return d, nil
}

func (h *handler) drain(w http.ResponseWriter, req bunrouter.Request) error {
	var drainReq DrainRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxDrainBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&drainReq); err != nil {
		return errkind.Wrap(bodyErrorKind(err), err, "decode drain request")
	}
	target := fleet.Target{Host: drainReq.Host, AvailabilityZone: drainReq.Zone}
	reason := drainReq.Reason
	if reason == "" {
		reason = "operator at " + req.RemoteAddr
	}
	h.opts.Logger.Info("operator: drain asked", "target", target.String(), "reason", reason)
	results, err := h.opts.Fleet.Drain(req.Context(), target, reason)
	if err != nil {
		return err
	}
	return writeJSON(w, newDrainResponse(results))
}

// bodyErrorKind returns the kind of an error from decoding a request body.
func bodyErrorKind(err error) errkind.Kind {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.TooLarge
	}
	return errkind.BadRequest
}

// healthz reports that the process is running.
func (h *handler) healthz(w http.ResponseWriter, _ bunrouter.Request) error {
	_, err := w.Write([]byte("ok\n"))
	return err
}

// readyz reports whether the daemon serves calls.
func (h *handler) readyz(w http.ResponseWriter, _ bunrouter.Request) error {
	l := h.opts.Board.Lifecycle.Load()
	switch {
	case l != nil && l.Phase >= blackboard.Draining:
		return errkind.New(errkind.Draining, "this daemon is draining: "+l.Reason)
	case l == nil || l.Phase < blackboard.Serving:
		return errkind.New(errkind.NotReady, "this daemon has not joined the fleet yet")
	case h.opts.Board.Snapshot.Load() == nil:
		return errkind.New(errkind.NotReady, h.notInForceReason())
	case h.opts.NeedDocument && h.opts.Board.Snapshot.Load().Document() == nil:
		return errkind.New(errkind.NotReady, "no document is in force yet")
	}
	_, err := w.Write([]byte("ok\n"))
	return err
}

// notInForceReason describes why no configuration is in force.
func (h *handler) notInForceReason() string {
	if f := h.opts.Board.Floor.Load(); f != nil && f.Reason != "" {
		return "no configuration is in force: " + f.Reason
	}
	return "no configuration is in force yet"
}
