package measure

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestMicros is the largest time in the histogram, in µs; digits is its precision
	// in significant digits.
	highestMicros = int64(time.Minute / time.Microsecond)
	digits        = 3
)

// Result holds the measurements of one policy with one workload.
type Result struct {
	Policy     string `json:"policy"`
	Jobs       int    `json:"jobs"`
	InDeadline int    `json:"in_deadline"`
	Late       int    `json:"late"`
	Refused    int    `json:"refused"`
	// FalseRefusals counts jobs that were refused although they had run, and jobs that ran
	// more than once.
	FalseRefusals int `json:"false_refusals"`
	// Unanswered counts jobs without an outcome at the end of the run.
	Unanswered int `json:"unanswered"`
	// MaxOverMean and Variation measure how unevenly work was distributed over the backend
	// servers: greatest over mean work, and coefficient of variation.
	MaxOverMean float64 `json:"max_over_mean"`
	Variation   float64 `json:"coefficient_of_variation"`
	// ShortP50, ShortP99 and ShortP999 are percentiles of the response time of short jobs,
	// in milliseconds.
	ShortP50  float64 `json:"short_p50_ms"`
	ShortP99  float64 `json:"short_p99_ms"`
	ShortP999 float64 `json:"short_p999_ms"`
	// HandedOver and Messages count transferred jobs and messages between agents.
	HandedOver int `json:"handed_over"`
	Messages   int `json:"messages"`
	// Violations counts violated invariants that the admission state reported.
	Violations int `json:"violations"`
}

// tally collects the measurements of a Result.
type tally struct {
	Result
	short  *hdrhistogram.Histogram
	served []time.Duration
	runs   map[uint64]int
	ended  map[uint64]bool
	// measureFrom is when measuring starts; jobs that arrive earlier are warm-up.
	measureFrom time.Time
}

func newTally(policy string, endpoints int, measureFrom time.Time) *tally {
	return &tally{
		Result:      Result{Policy: policy},
		short:       hdrhistogram.New(1, highestMicros, digits),
		served:      make([]time.Duration, endpoints),
		runs:        make(map[uint64]int),
		ended:       make(map[uint64]bool),
		measureFrom: measureFrom,
	}
}

// isCounted reports whether a job arrived after the warm-up.
func (t *tally) isCounted(j *job) bool { return !j.arrived.Before(t.measureFrom) }

func (t *tally) arrived(j *job) {
	if t.isCounted(j) {
		t.Jobs++
	}
}

func (t *tally) started(j *job, endpoint int) {
	t.runs[j.id]++
	if t.runs[j.id] > 1 {
		t.FalseRefusals++
	}
	if t.isCounted(j) {
		t.served[endpoint] += j.work
	}
}

func (t *tally) answered(j *job, at time.Time) {
	t.ended[j.id] = true
	if !t.isCounted(j) {
		return
	}
	if at.After(j.deadline) {
		t.Late++
	} else {
		t.InDeadline++
	}
	if !j.straggler {
		_ = t.short.RecordValue(at.Sub(j.arrived).Microseconds())
	}
}

func (t *tally) refuse(j *job) {
	t.ended[j.id] = true
	if t.runs[j.id] > 0 {
		t.FalseRefusals++
	}
	if t.isCounted(j) {
		t.Refused++
	}
}

func (t *tally) result() Result {
	r := t.Result
	r.Unanswered = r.Jobs - r.InDeadline - r.Late - r.Refused
	r.MaxOverMean, r.Variation = imbalance(t.served)
	r.ShortP50 = float64(t.short.ValueAtQuantile(50)) / 1000
	r.ShortP99 = float64(t.short.ValueAtQuantile(99)) / 1000
	r.ShortP999 = float64(t.short.ValueAtQuantile(99.9)) / 1000
	return r
}

// imbalance returns the greatest work of an endpoint over the mean, and the coefficient of
// variation.
func imbalance(served []time.Duration) (maxOverMean, variation float64) {
	var sum, most float64
	for _, d := range served {
		sum += d.Seconds()
		most = max(most, d.Seconds())
	}
	mean := sum / float64(len(served))
	var squares float64
	for _, d := range served {
		squares += (d.Seconds() - mean) * (d.Seconds() - mean)
	}
	return most / mean, math.Sqrt(squares/float64(len(served))) / mean
}
