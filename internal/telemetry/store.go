package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/crocuscross/crocuscross/platform"
)

// StoreMeter counts calls to the platform's metadata store. It implements platform.Meter.
type StoreMeter struct{ calls *prometheus.CounterVec }

// NewStoreMeter returns a StoreMeter whose metric is registered with reg. All its series start at
// 0.
func NewStoreMeter(reg prometheus.Registerer) *StoreMeter {
	m := &StoreMeter{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_calls_total",
		Help: "Calls to the platform's metadata store, by kind (read, newest, put), subject (configuration, contacts) and result.",
	}, []string{"call", "subject", "result"})}
	reg.MustRegister(m.calls)
	for _, call := range platform.CallKinds() {
		for _, subject := range platform.Subjects() {
			for _, ok := range []bool{true, false} {
				m.calls.WithLabelValues(string(call), string(subject), resultLabel(ok))
			}
		}
	}
	return m
}

// CountCall implements platform.Meter.
func (m *StoreMeter) CountCall(call platform.CallKind, subject platform.Subject, ok bool) {
	m.calls.WithLabelValues(string(call), string(subject), resultLabel(ok)).Inc()
}

var _ platform.Meter = (*StoreMeter)(nil)
