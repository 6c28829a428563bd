package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestAnsweringMean(t *testing.T) {
	const usual = 10 * time.Millisecond
	now := time.Second
	after := func(answers ...Request) time.Duration {
		var a answering
		for range 20 {
			a.ended(now, Request{Took: usual}, 2)
		}
		for _, r := range answers {
			a.ended(now, r, 2)
		}
		return a.now(now)
	}
	must.EqOp(t, usual, after())
	must.Less(t, 2*usual, after(Request{Took: 7 * usual}), must.Sprint("one long request"))
	must.EqOp(t, usual, after(Request{Took: 4 * usual, Beside: 7}), must.Sprint("a request that waited for a slot"))
	slow := make([]Request, 10)
	for i := range slow {
		slow[i].Took = 5 * usual
	}
	must.Greater(t, 3*usual, after(slow...))
}

func TestAnsweringIsForgotten(t *testing.T) {
	var a answering
	must.EqOp(t, 0, a.now(time.Second))
	a.ended(time.Second, Request{Took: time.Second}, 2)
	must.EqOp(t, time.Second, a.now(time.Second+answeringKeep))
	must.EqOp(t, 0, a.now(time.Second+answeringKeep+1))
	a.ended(time.Minute, Request{Took: time.Millisecond}, 2)
	must.EqOp(t, time.Millisecond, a.now(time.Minute))
}
