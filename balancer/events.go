package balancer

import (
	"cactustray/event"

	"github.com/sirupsen/logrus"
)

// The balancer's events; docs/EVENTS.md explains each.
var (
	EventBalancerStarted     = event.Define(1001, logrus.InfoLevel, "balancer started")
	EventBalancerStopped     = event.Define(1002, logrus.InfoLevel, "balancer stopped")
	EventTicketInForce       = event.Define(1101, logrus.InfoLevel, "ticket in force")
	EventTicketConflict      = event.Define(1102, logrus.WarnLevel, "two contents under one ticket number")
	EventTicketRefused       = event.Define(1103, logrus.WarnLevel, "ticket refused")
	EventPlatformUnavailable = event.Define(1104, logrus.WarnLevel, "platform unavailable")
	EventBehind              = event.Define(1201, logrus.InfoLevel, "table behind an agent's ticket")
)
