package packetbalancer

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cactustray/event"
	"cactustray/flow"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// Flows that leave the failure domain by the thousand must not write a line each.
func TestCrossingIsLoggedAtItsBeginAndEnd(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	log := event.NewLog(logger, "test")
	var p placements
	c := newCrossing()
	class := flow.Class{Goal: time.Second, Limit: time.Second}
	now := time.Second
	for range 1000 {
		p.count(flow.Decision{Reason: flow.Opened, Crosses: true, Class: class})
		p.count(flow.Decision{Reason: flow.Opened, Class: class})
		now += tickInterval
		c.Observe(now, p.outOfRoom.Load(), log)
	}
	must.EqOp(t, 1, strings.Count(out.String(), EventCrossingBegins.Name))
	for range 200 {
		now += tickInterval
		c.Observe(now, p.outOfRoom.Load(), log)
	}
	must.EqOp(t, 1, strings.Count(out.String(), EventCrossingEnds.Name))
	must.EqOp(t, 1000, p.crossing.Load())
	must.EqOp(t, 1000, p.own.Load())
}

// Without a class, flows cross as a matter of course: that is no lack of room.
func TestCrossingWithoutClassIsNotOutOfRoom(t *testing.T) {
	var p placements
	p.count(flow.Decision{Reason: flow.Opened, Crosses: true})
	p.count(flow.Decision{Reason: flow.Repeated, Crosses: true})
	must.EqOp(t, 1, p.crossing.Load())
	must.EqOp(t, 0, p.outOfRoom.Load())
}
