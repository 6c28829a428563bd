package measure

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestMicros and digits bound the histogram of times.
	highestMicros = int64(time.Minute / time.Microsecond)
	digits        = 3
)

// Result is what one policy did with one workload.
type Result struct {
	Policy     string `json:"policy"`
	Jobs       int    `json:"jobs"`
	InDeadline int    `json:"in_deadline"`
	Late       int    `json:"late"`
	Refused    int    `json:"refused"`
	// FalseRefusals were refused although they ran, or ran twice.
	FalseRefusals int `json:"false_refusals"`
	// Unanswered are jobs with no outcome at the end of the run.
	Unanswered int `json:"unanswered"`
	// MaxOverMean and Variation are of the work done by backend server.
	MaxOverMean float64 `json:"max_over_mean"`
	Variation   float64 `json:"coefficient_of_variation"`
	// Short holds times to the answer of short jobs, in milliseconds.
	ShortP50  float64 `json:"short_p50_ms"`
	ShortP99  float64 `json:"short_p99_ms"`
	ShortP999 float64 `json:"short_p999_ms"`
	// HandedOver and Messages count hand-overs and messages between agents.
	HandedOver int `json:"handed_over"`
	Messages   int `json:"messages"`
	// Violations are invariants that the decisions found broken.
	Violations int `json:"violations"`
}

// tally gathers a Result.
type tally struct {
	Result
	short  *hdrhistogram.Histogram
	served []time.Duration
	runs   map[uint64]int
	ended  map[uint64]bool
	// from is when measuring begins; earlier jobs warm the system up.
	from time.Time
}

func newTally(policy string, endpoints int, from time.Time) *tally {
	return &tally{
		Result: Result{Policy: policy},
		short:  hdrhistogram.New(1, highestMicros, digits),
		served: make([]time.Duration, endpoints),
		runs:   make(map[uint64]int),
		ended:  make(map[uint64]bool),
		from:   from,
	}
}

func (t *tally) counts(j *job) bool { return !j.arrived.Before(t.from) }

func (t *tally) arrived(j *job) {
	if t.counts(j) {
		t.Jobs++
	}
}

func (t *tally) started(j *job, endpoint int) {
	t.runs[j.id]++
	if t.runs[j.id] > 1 {
		t.FalseRefusals++
	}
	if t.counts(j) {
		t.served[endpoint] += j.work
	}
}

func (t *tally) answered(j *job, at time.Time) {
	t.ended[j.id] = true
	if !t.counts(j) {
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
	if t.counts(j) {
		t.Refused++
	}
}

func (t *tally) result() Result {
	r := t.Result
	r.Unanswered = r.Jobs - r.InDeadline - r.Late - r.Refused
	r.MaxOverMean, r.Variation = unevenness(t.served)
	r.ShortP50 = float64(t.short.ValueAtQuantile(50)) / 1000
	r.ShortP99 = float64(t.short.ValueAtQuantile(99)) / 1000
	r.ShortP999 = float64(t.short.ValueAtQuantile(99.9)) / 1000
	return r
}

func unevenness(served []time.Duration) (maxOverMean, variation float64) {
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
