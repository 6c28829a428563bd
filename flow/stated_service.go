package flow

import "crypto/sha256"

// Naming is how a packet between nodes states the service that it is for.
type Naming uint8

const (
	// ByTag: by the tag alone. Packets of open flows do, and opening packets of older builds.
	ByTag Naming = iota
	// NameOmitted: by the tag alone, in an opening packet whose sender takes the receiver for an
	// older build, which does not read names.
	NameOmitted
	// ByName: by the tag and the name.
	ByName
)

// StatedService is the service that a packet between nodes is for, as its sender states it.
type StatedService struct {
	Naming Naming
	// Name is the StatedName of the service if Naming is ByName, else empty.
	Name string
	// Tag is the tag of the service, or 0 if the sender does not know the service.
	Tag uint16
}

// maxPlainName is the length in bytes of the longest name that packets state as it is, so that
// an opening packet fits into one datagram.
const maxPlainName = 254

// StatedName returns what packets state for the name of a service, 255 bytes at most. Names of
// two services never have the same: a longer name is cut, and ends in its SHA-256 hash.
func StatedName(name string) string {
	if len(name) <= maxPlainName {
		return name
	}
	hash := sha256.Sum256([]byte(name))
	return name[:maxPlainName+1-len(hash)] + string(hash[:])
}

// OwnService is the service of an agent's endpoint. It decides which packets are not for that
// service: the agent's address may have belonged to another one.
//
// Invariant: an opening packet of a node that can name the service is delivered only if it names
// exactly this one. A tag is no proof, since two services may have the same. A packet of an open
// flow opens none, and an endpoint gives it back unless it holds the flow; there the tag only
// saves a round trip.
type OwnService struct {
	stated string
	tag    uint16
}

// NewOwnService returns the service with a name and tag.
func NewOwnService(name string, tag uint16) OwnService {
	return OwnService{stated: StatedName(name), tag: tag}
}

// Stated returns the service as packets that the agent forwards state it.
func (o OwnService) Stated(naming Naming) StatedService {
	s := StatedService{Naming: naming, Tag: o.tag}
	if naming == ByName {
		s.Name = o.stated
	}
	return s
}

// Refuses reports whether a packet is returned to its balancer because of the service that it
// states, and why.
func (o OwnService) Refuses(p Packet, stated StatedService) (Reason, bool) {
	switch {
	case stated.Tag != 0 && stated.Tag != o.tag:
		return ForeignService, true
	case !p.Opening || stated.Naming == ByTag:
		return Known, false
	case stated.Naming == NameOmitted:
		return NameRequired, true
	}
	return ForeignService, stated.Name != o.stated
}

// withNaming adds to a decision on an opening packet how the packet states its service to the
// agent, and how the agent does to the alternate.
func (d Decision) withNaming(routing *RoutingTable) Decision {
	d.Naming, d.AlternateNaming = routing.namingFor(d.To), routing.namingFor(d.Alternate)
	return d
}

// namingFor returns how opening packets for an agent state their service. One that has not
// reported may be of any build; the packets that it could not read are sent again when it does.
func (t *RoutingTable) namingFor(agent Address) Naming {
	endpoint := t.Agents[agent]
	if endpoint == nil || endpoint.AgentLoad.ReportedAt() == 0 || endpoint.AgentLoad.ReadsServiceName() {
		return ByName
	}
	return NameOmitted
}
