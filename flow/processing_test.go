package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestProcessingTimeMean(t *testing.T) {
	const usual = 10 * time.Millisecond
	now := time.Second
	after := func(answers ...Request) time.Duration {
		var p processingTime
		for range 20 {
			p.ended(now, Request{Elapsed: usual}, 2)
		}
		for _, r := range answers {
			p.ended(now, r, 2)
		}
		return p.now(now)
	}
	must.EqOp(t, usual, after())
	must.Less(t, 2*usual, after(Request{Elapsed: 7 * usual}), must.Sprint("one long request"))
	must.EqOp(t, usual, after(Request{Elapsed: 4 * usual, Concurrent: 7}), must.Sprint("a request that waited for a slot"))
	slow := make([]Request, 10)
	for i := range slow {
		slow[i].Elapsed = 5 * usual
	}
	must.Greater(t, 3*usual, after(slow...))
}

func TestProcessingTimeExpires(t *testing.T) {
	var p processingTime
	must.EqOp(t, 0, p.now(time.Second))
	p.ended(time.Second, Request{Elapsed: time.Second}, 2)
	must.EqOp(t, time.Second, p.now(time.Second+processingExpiry))
	must.EqOp(t, 0, p.now(time.Second+processingExpiry+1))
	p.ended(time.Minute, Request{Elapsed: time.Millisecond}, 2)
	must.EqOp(t, time.Millisecond, p.now(time.Minute))
}
