package packetbalancer

import (
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/sirupsen/logrus"
)

// The balancer's events; docs/EVENTS.md explains each.
var (
	EventStarted            = event.Define(3001, logrus.InfoLevel, "packet balancer started")
	EventStopped            = event.Define(3002, logrus.InfoLevel, "packet balancer stopped")
	EventLeaving            = event.Define(3003, logrus.InfoLevel, "packet balancer leaving")
	EventSocketFailed       = event.Define(3004, logrus.WarnLevel, "socket failed")
	EventSettings           = event.Define(3007, logrus.InfoLevel, "changed settings in force")
	EventReady              = event.Define(3005, logrus.InfoLevel, "packet balancer ready")
	EventDesired            = event.Define(3101, logrus.InfoLevel, "desired state in force")
	EventEndpoints          = event.Define(3102, logrus.InfoLevel, "endpoints changed")
	EventRegistryLost       = event.Define(3103, logrus.WarnLevel, "registry does not answer")
	EventRegistryBack       = event.Define(3104, logrus.InfoLevel, "registry answers again")
	EventPeerFailed         = event.Define(3105, logrus.WarnLevel, "fetching the directory from a balancer failed")
	EventHistoryUnavailable = event.Define(3106, logrus.InfoLevel, "registry no longer has the change history")
	EventEntryRefused       = event.Define(3108, logrus.WarnLevel, "registry entry rejected")
	EventRegistryRestored   = event.Define(3112, logrus.WarnLevel, "registry was restored from a copy")
	EventNotApplied         = event.Define(3113, logrus.InfoLevel, "older directory not applied")
	EventEndpointSlow       = event.Define(3109, logrus.WarnLevel, "endpoint answers slowly")
	EventEndpointRecovered  = event.Define(3110, logrus.InfoLevel, "endpoint answers at normal speed again")
	EventComplete           = event.Define(3111, logrus.InfoLevel, "all endpoints that may hold flows are known")
	EventHistoryKnown       = event.Define(3114, logrus.InfoLevel, "route history is known")
	EventHistoryLost        = event.Define(3115, logrus.WarnLevel, "route history was lost")
	EventOutlived           = event.Define(3116, logrus.WarnLevel, "agents outlived all balancers")
	EventIntroduced         = event.Define(3117, logrus.InfoLevel, "agent of an unknown endpoint reported")
	EventEvacuationBegun    = event.Define(3120, logrus.WarnLevel, "failure domain evacuated")
	EventEvacuationEnded    = event.Define(3121, logrus.InfoLevel, "failure domain back in service")
	EventEvacuationUnknown  = event.Define(3122, logrus.WarnLevel, "order to evacuate an unknown failure domain")
	EventContactWidth       = event.Define(3130, logrus.InfoLevel, "another number of agents of other failure domains in touch")
	EventContactInterval    = event.Define(3131, logrus.InfoLevel, "another interval of reports requested of other failure domains")
	EventManyLost           = event.Define(3140, logrus.InfoLevel, "many flows are lost")
	EventHandoverPassedOn   = event.Define(3150, logrus.InfoLevel, "hand-over passed on to the next agent")
	EventPaused             = event.Define(3107, logrus.WarnLevel, "packet balancer was paused")
	EventFlowPlaced         = event.Define(3201, logrus.InfoLevel, "flow placed")
	EventFlowSearched       = event.Define(3203, logrus.InfoLevel, "flow search sent to agents")
	EventFlowEnded          = event.Define(3204, logrus.InfoLevel, "flow ended by a reset")
	EventFlowUnplaced       = event.Define(3205, logrus.InfoLevel, "flow not placed")
	EventCrossingBegins     = event.Define(3210, logrus.InfoLevel, "new flows go to other failure domains")
	EventCrossingEnds       = event.Define(3211, logrus.InfoLevel, "new flows stay in the failure domain again")
)

// logDecision logs a decision that operators may need to trace. buffer contains the
// packet after space for an envelope, or is empty.
func (f *forwarder) logDecision(key flow.Key, d flow.Decision, buffer []byte) {
	var e event.Event
	switch {
	case d.SendReset:
		e = EventFlowEnded
	case d.Reason == flow.Opened:
		e = EventFlowPlaced
	case len(d.SearchAgents)+len(d.QueryAgents)+d.BulkQueried > 0 && !d.Continued:
		e = EventFlowSearched
	case d.Reason == flow.NoEndpoint || d.Reason == flow.UnknownAddress:
		e = EventFlowUnplaced
	default:
		return
	}
	if !f.log.Enabled(e) {
		return
	}
	fields := event.Fields{"flow": key.String(), "reason": d.Reason.String(), "directory_age_ms": f.age().Milliseconds()}
	if !d.To.IsZero() {
		fields["agent"] = d.To.String()
	}
	if len(buffer) > wire.EnvelopeSize {
		if id := f.codec.RequestID(buffer[wire.EnvelopeSize:]); id != "" {
			fields["request"] = id
		}
	}
	f.log.Emit(e, fields)
}
