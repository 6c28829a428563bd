package metrics

import (
	"io"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
)

// namePrefix is the prefix of all names in the text format, which allows no dots in
// names.
const namePrefix = "cactustray_"

// quantiles are the quantiles written for a histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes all instruments in the Prometheus text format. Histograms of
// durations become summaries in seconds.
func (r *Registry) WriteText(w io.Writer) error {
	var firstErr error
	r.registry.Each(func(name string, instrument any) {
		family := familyOf(name, instrument)
		if family == nil || firstErr != nil {
			return
		}
		_, firstErr = expfmt.MetricFamilyToText(w, family)
	})
	return firstErr
}

// familyOf returns an instrument as a Prometheus metric family, or nil for an unknown
// kind.
func familyOf(name string, instrument any) *dto.MetricFamily {
	name = namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	var kind dto.MetricType
	metric := new(dto.Metric)
	switch i := instrument.(type) {
	case gometrics.Counter:
		kind, metric.Counter = dto.MetricType_COUNTER, &dto.Counter{Value: pointer(float64(i.Count()))}
	case gometrics.Gauge:
		kind, metric.Gauge = dto.MetricType_GAUGE, &dto.Gauge{Value: pointer(float64(i.Value()))}
	case gometrics.GaugeFloat64:
		kind, metric.Gauge = dto.MetricType_GAUGE, &dto.Gauge{Value: pointer(i.Value())}
	case gometrics.Timer:
		name += "_seconds"
		kind, metric.Summary = dto.MetricType_SUMMARY, summaryOf(i.Snapshot())
	default:
		return nil
	}
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{metric}}
}

func summaryOf(t gometrics.Timer) *dto.Summary {
	count := uint64(t.Count())
	summary := &dto.Summary{SampleCount: &count, SampleSum: pointer(seconds(float64(t.Sum())))}
	for i, value := range t.Percentiles(quantiles) {
		summary.Quantile = append(summary.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: pointer(seconds(value))})
	}
	return summary
}

func seconds(nanoseconds float64) float64 { return nanoseconds / float64(time.Second) }

func pointer(value float64) *float64 { return &value }
