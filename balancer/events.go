package balancer

import (
	"cactustray/event"

	"github.com/sirupsen/logrus"
)

// The balancer's events; docs/EVENTS.md explains each.
var (
	EventBalancerStarted     = event.Define(1001, logrus.InfoLevel, "balancer started")
	EventBalancerStopped     = event.Define(1002, logrus.InfoLevel, "balancer stopped")
	EventSocketFailed        = event.Define(1003, logrus.WarnLevel, "balancer's socket failed")
	EventTicketInForce       = event.Define(1101, logrus.InfoLevel, "ticket in force")
	EventTicketConflict      = event.Define(1102, logrus.WarnLevel, "conflicting tickets with the same number")
	EventTicketRefused       = event.Define(1103, logrus.WarnLevel, "ticket refused")
	EventAddressConflict     = event.Define(1105, logrus.WarnLevel, "address used by two services")
	EventTicketsSealed       = event.Define(1106, logrus.InfoLevel, "tickets sealed")
	EventTableReady          = event.Define(1107, logrus.InfoLevel, "first table published")
	EventPeerUnresponsive    = event.Define(1108, logrus.WarnLevel, "peer balancer not responding")
	EventReadModeChanged     = event.Define(1109, logrus.InfoLevel, "platform read mode changed")
	EventPlatformUnavailable = event.Define(1104, logrus.WarnLevel, "platform unavailable")
	EventTableOutdated       = event.Define(1201, logrus.InfoLevel, "table older than an agent's ticket")
	EventEndpointSuspected   = event.Define(1401, logrus.WarnLevel, "endpoint suspected")
	EventBalancerSuspected   = event.Define(1402, logrus.WarnLevel, "balancer suspected")
	EventSuspicionsIgnored   = event.Define(1403, logrus.WarnLevel, "ignoring of endpoint suspicions began or ended")
	EventPaused              = event.Define(1404, logrus.WarnLevel, "process was paused")
	EventBalancerLeaving     = event.Define(1405, logrus.InfoLevel, "balancer leaving")
	EventListRefused         = event.Define(1601, logrus.WarnLevel, "list of VMs refused")
)
