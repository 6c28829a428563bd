// Package metrics lets slices register typed instruments and shows them over
// HTTP. What a slice counts already is read through a gauge, not counted twice.
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
	// Path is where the metrics are read.
	Path            = "/metrics"
	contentTypeJSON = "application/json"
)

// Counter counts events. It is safe for concurrent use.
type Counter struct{ counter gometrics.Counter }

// Add counts n events.
func (c *Counter) Add(n int64) { c.counter.Inc(n) }

// Count returns how many events were counted.
func (c *Counter) Count() int64 { return c.counter.Count() }

// Level is a value that goes up and down. It is safe for concurrent use.
type Level struct{ gauge gometrics.Gauge }

// Set changes the value.
func (l *Level) Set(value int64) { l.gauge.Update(value) }

// Times is a histogram of durations. It is safe for concurrent use.
type Times struct{ timer gometrics.Timer }

// NewTimes returns an empty histogram.
func NewTimes() *Times { return &Times{timer: gometrics.NewTimer()} }

// Add counts one duration.
func (t *Times) Add(d time.Duration) { t.timer.Update(d) }

// Registry holds a process's instruments by name. It is safe for concurrent
// use.
type Registry struct{ registry gometrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{registry: gometrics.NewRegistry()} }

// Counter returns the counter of a name, made when it is new.
func (r *Registry) Counter(name string) *Counter {
	return &Counter{counter: gometrics.GetOrRegisterCounter(name, r.registry)}
}

// Level returns the level of a name, made when it is new.
func (r *Registry) Level(name string) *Level {
	return &Level{gauge: gometrics.GetOrRegisterGauge(name, r.registry)}
}

// Events shows how often each event was emitted, as event.NUMBER, and how the
// lines fare in their queue.
func (r *Registry) Events(log *event.Log) {
	if q := log.Queue(); q != nil {
		r.Gauge("log.dropped", q.Dropped)
		r.Gauge("log.waiting", q.Waiting)
	}
	for _, e := range event.All() {
		r.Gauge(fmt.Sprintf("event.%d", e.Number), func() int64 { return log.Count(e) })
	}
}

// Times shows a histogram, in nanoseconds.
func (r *Registry) Times(name string, t *Times) { _ = r.registry.Register(name, t.timer) }

// Gauge shows a value that read returns; read must be safe for concurrent use.
func (r *Registry) Gauge(name string, read func() int64) {
	_ = r.registry.Register(name, gometrics.NewFunctionalGauge(read))
}

// Float shows a value that read returns; read must be safe for concurrent use.
func (r *Registry) Float(name string, read func() float64) {
	_ = r.registry.Register(name, gometrics.NewFunctionalGaugeFloat64(read))
}

// ServeHTTP writes every instrument: in the text format of Prometheus to callers that
// accept text, as collectors do, else as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !strings.Contains(request.Header.Get("Accept"), "text/plain") {
		w.Header().Set("Content-Type", contentTypeJSON)
		gometrics.WriteJSONOnce(r.registry, w)
		return
	}
	w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	_ = r.WriteText(w) // the caller has gone
}

// Serve shows the registry on an address until the context ends; without a
// valid address it returns at once. It fails as rpc.ServePlain does.
func (r *Registry) Serve(ctx context.Context, address netip.AddrPort) error {
	if !address.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, r)
	return rpc.ServePlain(ctx, address, mux)
}
