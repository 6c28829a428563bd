// Package metrics is the registry of a process's metrics and serves them over HTTP. A
// value that a package counts anyway is registered as a gauge that reads it, so that
// nothing is counted twice.
package metrics

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"cactustray/control/rpc"
	"cactustray/event"

	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// Path is the URL path of the metrics.
	Path            = "/metrics"
	contentTypeJSON = "application/json"
)

// Counter counts events. It is safe for concurrent use.
type Counter struct{ counter gometrics.Counter }

// Add counts n events.
func (c *Counter) Add(n int64) { c.counter.Inc(n) }

// Count returns the number of events counted.
func (c *Counter) Count() int64 { return c.counter.Count() }

// Gauge is a value that goes up and down and is changed by Set. It is safe for
// concurrent use.
type Gauge struct{ gauge gometrics.Gauge }

// Set sets the value.
func (g *Gauge) Set(value int64) { g.gauge.Update(value) }

// Timer is a histogram of durations. It is safe for concurrent use.
type Timer struct{ timer gometrics.Timer }

// NewTimer returns an empty histogram.
func NewTimer() *Timer { return &Timer{timer: gometrics.NewTimer()} }

// Observe adds one duration to the histogram.
func (t *Timer) Observe(d time.Duration) { t.timer.Update(d) }

// Registry holds the instruments of a process by name. It is safe for concurrent use.
type Registry struct{ registry gometrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{registry: gometrics.NewRegistry()} }

// Counter returns the counter with the given name, and registers it if it is new.
func (r *Registry) Counter(name string) *Counter {
	return &Counter{counter: gometrics.GetOrRegisterCounter(name, r.registry)}
}

// Gauge returns the settable gauge with the given name, and registers it if it is
// new.
func (r *Registry) Gauge(name string) *Gauge {
	return &Gauge{gauge: gometrics.GetOrRegisterGauge(name, r.registry)}
}

// RegisterEvents registers a gauge event.NUMBER with the count of each event and, if
// the log writes to a queue, gauges of its dropped and waiting lines.
func (r *Registry) RegisterEvents(log *event.Log) {
	if q := log.Queue(); q != nil {
		r.GaugeFunc("log.dropped", q.Dropped)
		r.GaugeFunc("log.waiting", q.Waiting)
	}
	for _, e := range event.All() {
		r.GaugeFunc(fmt.Sprintf("event.%d", e.Number), func() int64 { return log.Count(e) })
	}
}

// RegisterTimer registers a histogram of durations. As JSON its values are nanoseconds.
func (r *Registry) RegisterTimer(name string, t *Timer) { _ = r.registry.Register(name, t.timer) }

// GaugeFunc registers a gauge that calls read for its value. read must be safe for
// concurrent use.
func (r *Registry) GaugeFunc(name string, read func() int64) {
	_ = r.registry.Register(name, gometrics.NewFunctionalGauge(read))
}

// FloatGaugeFunc registers a floating-point gauge that calls read for its value. read
// must be safe for concurrent use.
func (r *Registry) FloatGaugeFunc(name string, read func() float64) {
	_ = r.registry.Register(name, gometrics.NewFunctionalGaugeFloat64(read))
}

// ServeHTTP writes all instruments: in the Prometheus text format to clients that
// accept text, as Prometheus does, else as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !strings.Contains(request.Header.Get("Accept"), "text/plain") {
		w.Header().Set("Content-Type", contentTypeJSON)
		gometrics.WriteJSONOnce(r.registry, w)
		return
	}
	w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	_ = r.WriteText(w) // an error means that the client has disconnected
}

// Serve serves the metrics on an address until the context is done. If the address
// is not valid it returns nil at once. It fails as rpc.ServePlain does.
func (r *Registry) Serve(ctx context.Context, address netip.AddrPort) error {
	if !address.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, r)
	return rpc.ServePlain(ctx, address, mux)
}
