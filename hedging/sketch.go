package hedging

import (
	"math"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// Quantile is the share of the requests of a class that are answered before a second
	// copy would be offered.
	Quantile = 0.95
	// windowSize is how many durations a window holds.
	windowSize = 512
	// windowTime is the longest time between the first duration of a window and the last.
	windowTime = 30 * time.Second
	// minSamples is how many durations must be known before a copy is offered: with 60, three
	// lie above Quantile.
	minSamples = 60
	// refreshInterval is the minimum time between two calculations of the same quantiles.
	refreshInterval = time.Second
	// slowFactor is how much longer than the reference a slow request takes. Without it, a
	// class whose times hardly differ counts as slow when they rise by some percent.
	slowFactor = 1.5
	// referenceRise is how much the reference may rise in a minute, as a factor. A service
	// that becomes 3 times slower counts as slow for 7 minutes, then as usual.
	referenceRise = 1.1
)

// sketch holds the last durations of one class in two windows. A new window begins when
// the current one is full or windowTime old; then the older one is dropped. A window is a
// sample of the metrics library that is never filled beyond its size, so that the library
// drops no duration at random and the quantiles depend on the durations and times only.
type sketch struct {
	current  gometrics.Sample
	previous gometrics.Sample
	began    time.Time
	timing   Timing
	// reference is the duration that slow requests exceed by slowFactor. It follows Timing.Delay, but
	// rises slowly, so that a service which becomes slow as a whole is noticed.
	reference time.Duration
	computed  time.Time
	dirty     bool
}

func newSketch(now time.Time) *sketch {
	return &sketch{current: gometrics.NewUniformSample(windowSize), previous: gometrics.NilSample{}, began: now}
}

func (s *sketch) add(now time.Time, took time.Duration) {
	s.age(now)
	if s.current.Size() == windowSize {
		s.rotate(now)
	}
	s.current.Update(int64(took))
	s.dirty = true
}

// age drops the windows whose durations are too old.
func (s *sketch) age(now time.Time) {
	old := now.Sub(s.began)
	if old < windowTime {
		return
	}
	s.rotate(now)
	if old >= 2*windowTime {
		s.previous = gometrics.NilSample{}
	}
}

func (s *sketch) rotate(now time.Time) {
	s.previous, s.current = s.current, gometrics.NewUniformSample(windowSize)
	s.began = now
	s.dirty = true
}

// isEmpty reports whether all durations are too old.
func (s *sketch) isEmpty(now time.Time) bool {
	s.age(now)
	return s.current.Size()+s.previous.Size() == 0
}

// at returns the timing of the class. ok is false if too few durations are known.
func (s *sketch) at(now time.Time) (timing Timing, ok bool) {
	s.age(now)
	if s.current.Size()+s.previous.Size() < minSamples {
		return Timing{}, false
	}
	if s.dirty && now.Sub(s.computed) >= refreshInterval || s.timing == (Timing{}) {
		durations := append(s.previous.Values(), s.current.Values()...)
		quantiles := gometrics.SamplePercentiles(durations, []float64{0.5, Quantile})
		s.timing = Timing{Typical: time.Duration(quantiles[0]), Delay: time.Duration(quantiles[1])}
		s.updateReference(now)
		s.computed, s.dirty = now, false
	}
	return s.timing, true
}

func (s *sketch) updateReference(now time.Time) {
	if s.reference == 0 {
		s.reference = s.timing.Delay
		return
	}
	rise := math.Pow(referenceRise, now.Sub(s.computed).Minutes())
	s.reference = min(s.timing.Delay, time.Duration(float64(s.reference)*rise))
}
