package agent

import (
	"cactustray/event"

	"github.com/sirupsen/logrus"
)

// The agent's events; docs/EVENTS.md explains each.
var (
	EventAgentStarted         = event.Define(2001, logrus.InfoLevel, "agent started")
	EventAgentDraining        = event.Define(2002, logrus.InfoLevel, "agent draining")
	EventSocketFailed         = event.Define(2005, logrus.WarnLevel, "agent's datagram socket failed")
	EventAgentStopped         = event.Define(2003, logrus.InfoLevel, "agent stopped")
	EventRecordsHandedOver    = event.Define(2006, logrus.InfoLevel, "records of keys handed over")
	EventRecordsNotHandedOver = event.Define(2007, logrus.WarnLevel, "records of keys not handed over")
	EventCopiesSuspended      = event.Define(2008, logrus.InfoLevel, "second copies suspended")
	EventCopiesResumed        = event.Define(2009, logrus.InfoLevel, "second copies resumed")
	EventTicketInForce        = event.Define(2101, logrus.InfoLevel, "service's ticket in force")
	EventBalancerUnresponsive = event.Define(2201, logrus.WarnLevel, "balancer not responding")
	EventDrainCancelled       = event.Define(2004, logrus.InfoLevel, "drain cancelled")
	EventPaused               = event.Define(2202, logrus.WarnLevel, "process was paused")
)
