package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/eventlog"
)

// AppendMeter counts what this process appends to the platform's log. Reads of
// configuration are counted by SpreadMeter.
type AppendMeter struct {
	appends  *prometheus.CounterVec
	duration prometheus.Histogram
}

// NewAppendMeter registers the metrics of appends.
func NewAppendMeter(reg prometheus.Registerer) *AppendMeter {
	m := &AppendMeter{
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_appends_total",
			Help: "Appends to the platform's log, by stream and result: ok, rejected, unavailable (not in the log) or unknown.",
		}, []string{"stream", "result"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "log_append_duration_seconds",
			Help: "Time until an append was answered or given up.", Buckets: latencyBuckets,
		}),
	}
	reg.MustRegister(m.appends, m.duration)
	return m
}

// Results of an append.
const (
	appendOK          = "ok"
	appendRejected    = "rejected"
	appendUnavailable = "unavailable"
	appendUnknown     = "unknown"
)

// Stream returns log with its appends counted under the stream's name. All
// results start at 0: of a counter that appears with its first count, Prometheus
// sees no increase, and most daemons append a checkpoint once at most.
func (m *AppendMeter) Stream(name string, log eventlog.Log) eventlog.Log {
	for _, result := range []string{appendOK, appendRejected, appendUnavailable, appendUnknown} {
		m.appends.WithLabelValues(name, result)
	}
	return &meteredLog{Log: log, name: name, meter: m}
}

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
