package packetagent

import (
	"net"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/flow"
	"cactustray/flow/handover"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

func receiveMessage(t *testing.T, socket *net.UDPConn) wire.Message {
	t.Helper()
	message, err := wire.Decode(receive(t, socket))
	must.NoError(t, err)
	return message
}

// Guards against planned restarts after which an agent knows no flow: what the agent hands over
// reaches the next one by way of a balancer, and is reported at once.
func TestNextAgentTakesOverFlows(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	address := flow.AddressOf(localAddr(balancer))
	before := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(before, nil)
	s.balancers[address] = clock.Now()
	s.handOver(clock.Now())
	var store handover.Store
	part := receiveMessage(t, balancer).(wire.HandoverPart)
	must.Len(t, 2, part.Open)
	store.Add(0, flow.Address{Port: 1}, handover.Part(part))

	after := startForwarder(t, "orders", localAddr(endpoint))
	next := newState(after.log, after, nil)
	now := clock.Now()
	for range 5 { // the query is repeated, but not for ever
		next.helloReceived(now, helloReceived{Hello: wire.Hello{Slots: 1}, balancer: address})
	}
	queries := 0
	for _, message := range messagesAt(t, balancer) {
		query, ok := message.(wire.HandoverQuery)
		if !ok {
			continue
		}
		queries++
		must.Len(t, 1, store.Take(flow.Address{Port: 1}, query.Process))
	}
	must.EqOp(t, handoverQueries, queries)
	must.EqOp(t, 0, after.usage().Flows)
	next.handoverPartReceived(now, handover.Part(part))
	must.EqOp(t, 2, after.usage().Flows)
	must.True(t, receiveMessage(t, balancer).(wire.Report).Flows == 2)
	next.helloReceived(now+time.Second, helloReceived{Hello: wire.Hello{Slots: 1}, balancer: address})
	for _, message := range messagesAt(t, balancer) {
		_, isQuery := message.(wire.HandoverQuery)
		must.False(t, isQuery)
	}
}

// Guards against an agent that queries for a hand-over long after its start: one that arrives then
// may be of an agent that ran after it.
func TestHandoverIsQueriedAfterStartOnly(t *testing.T) {
	p := newPredecessor(time.Second)
	must.NotEqOp(t, 0, p.process)
	must.True(t, p.isQueryDue(time.Second+handoverQueryPeriod, flow.Address{Port: 1}))
	must.False(t, p.isQueryDue(time.Second+handoverQueryPeriod+1, flow.Address{Port: 1}))
	p.isFirst = true
	must.False(t, p.isQueryDue(time.Second, flow.Address{Port: 1}))
}
