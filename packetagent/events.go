package packetagent

import (
	"cactustray/event"
	"cactustray/flow"

	"github.com/sirupsen/logrus"
)

// The agent's events; docs/EVENTS.md explains each.
var (
	EventStarted          = event.Define(3301, logrus.InfoLevel, "packet agent started")
	EventStopped          = event.Define(3302, logrus.InfoLevel, "packet agent stopped")
	EventLeaving          = event.Define(3303, logrus.InfoLevel, "packet agent leaving")
	EventSocketFailed     = event.Define(3304, logrus.WarnLevel, "agent's socket failed")
	EventSettings         = event.Define(3311, logrus.InfoLevel, "agent's changed settings in force")
	EventPaused           = event.Define(3305, logrus.WarnLevel, "packet agent was paused")
	EventBalancerFound    = event.Define(3306, logrus.InfoLevel, "first hello message from a balancer")
	EventBalancerStopping = event.Define(3307, logrus.InfoLevel, "balancer announced its stop")
	EventBalancerLost     = event.Define(3308, logrus.WarnLevel, "no more hello messages from a balancer")
	EventEndpointSilent   = event.Define(3309, logrus.WarnLevel, "endpoint does not answer")
	EventEndpointBack     = event.Define(3310, logrus.InfoLevel, "endpoint answers again")
	EventFlowsKnown       = event.Define(3312, logrus.InfoLevel, "all flows of the endpoint are known")
	EventFlowsHandedOver  = event.Define(3313, logrus.InfoLevel, "flows handed over")
	EventFlowsTakenOver   = event.Define(3314, logrus.InfoLevel, "flows of the agent before taken over")
	EventFlowsNotKnown    = event.Define(3315, logrus.WarnLevel, "endpoint started before the agent after all")
	EventEvacuated        = event.Define(3320, logrus.InfoLevel, "endpoint's failure domain evacuated")
	EventEvacuationEnded  = event.Define(3321, logrus.InfoLevel, "endpoint's failure domain back in service")
	EventContactBegun     = event.Define(3330, logrus.InfoLevel, "balancer of another failure domain is in touch")
	EventContactEnded     = event.Define(3331, logrus.InfoLevel, "balancer of another failure domain ended its contact or stops")
	EventFlowForwarded    = event.Define(3401, logrus.InfoLevel, "flow forwarded to another agent")
	EventFlowReturned     = event.Define(3402, logrus.InfoLevel, "packet returned to its balancer")
	EventFlowEnded        = event.Define(3403, logrus.InfoLevel, "reset sent for a flow that the endpoint lost")
	EventFlowReset        = event.Define(3405, logrus.InfoLevel, "flow reset by the endpoint")
	EventRefusalsBegin    = event.Define(3410, logrus.WarnLevel, "waiting opening packets are refused")
	EventRefusalsEnd      = event.Define(3411, logrus.InfoLevel, "no more waiting opening packets are refused")
	EventRequest          = event.Define(3500, logrus.InfoLevel, "request reached the endpoint")
	EventAnswered         = event.Define(3501, logrus.InfoLevel, "request answered")
	EventUnanswered       = event.Define(3502, logrus.WarnLevel, "request ended without an answer")
	EventFlowTried        = event.Define(3404, logrus.InfoLevel, "packet of an unknown flow delivered to the endpoint")
)

// logRequest logs the beginning or end of a request; status is 0 if there is no
// answer.
func (f *forwarder) logRequest(e event.Event, key flow.Key, r flow.Request, status int) {
	if !f.log.Enabled(e) {
		return
	}
	fields := event.Fields{"request": r.ID, "flow": key.String(), "beside": r.Concurrent}
	if e.Number != EventRequest.Number {
		fields["took_ms"] = r.Elapsed.Milliseconds()
	}
	if status != 0 {
		fields["status"] = status
	}
	f.log.Emit(e, fields)
}

// logDecision logs a decision that operators may need to trace.
func (f *forwarder) logDecision(key flow.Key, v flow.Verdict) {
	var e event.Event
	switch {
	case v.Reason == flow.OpeningRefused:
		return // counted, and logged as an episode: under overload there are thousands
	case v.Action == flow.SendReset:
		e = EventFlowEnded
	case v.Action == flow.ForwardToAgent && v.Reason != flow.HandedOn:
		e = EventFlowForwarded
	case v.Action == flow.Return:
		e = EventFlowReturned
	case v.Reason == flow.EndpointReset:
		e = EventFlowReset
	case v.Reason == flow.Tried:
		e = EventFlowTried
	default:
		return
	}
	if !f.log.Enabled(e) {
		return
	}
	f.log.Emit(e, event.Fields{"flow": key.String(), "reason": v.Reason.String(), "to": v.To.String(), "running": f.usage().Running})
}
