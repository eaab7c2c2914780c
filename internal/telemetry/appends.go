package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/eventlog"
)

// AppendMeter counts this process's appends to the platform's log. SpreadMeter counts the reads of
// configuration.
type AppendMeter struct {
	appends  *prometheus.CounterVec
	duration prometheus.Histogram
}

// NewAppendMeter returns an AppendMeter whose metrics are registered with reg.
func NewAppendMeter(reg prometheus.Registerer) *AppendMeter {
	m := &AppendMeter{
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_appends_total",
			Help: "Appends to the platform's log, by stream and result: ok, rejected, unavailable (not appended) or unknown.",
		}, []string{"stream", "result"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "log_append_duration_seconds",
			Help: "Time until an append was answered or abandoned, in seconds.", Buckets: latencyBuckets,
		}),
	}
	reg.MustRegister(m.appends, m.duration)
	return m
}

// Values of the result label of log_appends_total.
const (
	appendOK          = "ok"
	appendRejected    = "rejected"
	appendUnavailable = "unavailable"
	appendUnknown     = "unknown"
)

// Stream returns a log that forwards to log and counts its appends under the stream's name. The
// counters of all results start at 0 because Prometheus sees no increase in a counter that first
// appears with a value of 1, and most daemons append at most one checkpoint.
func (m *AppendMeter) Stream(name string, log eventlog.Log) eventlog.Log {
	for _, result := range []string{appendOK, appendRejected, appendUnavailable, appendUnknown} {
		m.appends.WithLabelValues(name, result)
	}
	return &meteredLog{Log: log, name: name, meter: m}
}

// meteredLog is a Log that counts and times its appends.
type meteredLog struct {
	eventlog.Log
	name  string
	meter *AppendMeter
}

// Append implements eventlog.Log.
func (l *meteredLog) Append(ctx context.Context, data []byte) (eventlog.Offset, error) {
	start := time.Now()
	offset, err := l.Log.Append(ctx, data)
	l.meter.duration.Observe(time.Since(start).Seconds())
	l.meter.appends.WithLabelValues(l.name, appendResult(err)).Inc()
	return offset, err
}

// appendResult returns the result label for the error of an append.
func appendResult(err error) string {
	var rejected *eventlog.RejectedError
	switch {
	case err == nil:
		return appendOK
	case errors.As(err, &rejected):
		return appendRejected
	case errors.Is(err, eventlog.ErrUnavailable):
		return appendUnavailable
	}
	return appendUnknown
}
