package flow

// Reason is why an agent or a balancer decided as it did on a packet.
type Reason uint8

// Reasons, each explained in docs/OPERATIONS.md.
const (
	Known Reason = iota
	Opened
	Repeated
	Tried
	HandedOn
	EndpointBusy
	EndpointSilent
	EndpointRefused
	EndpointLost
	NotHeld
	Closed
	TableFull
	UnknownAddress
	NoEndpoint
	Searched
	NobodyHolds
	ForeignService
	TooManyHops
	EndpointReset
	SearchWaits
	OpeningWaits
	Evacuated
	EndpointCold
	OpeningRefused
	NameRequired
	HandingOver
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	Known: "known", Opened: "opened", Repeated: "repeated", Tried: "tried", HandedOn: "handed-on",
	EndpointBusy: "endpoint-busy", EndpointSilent: "endpoint-silent", EndpointRefused: "endpoint-refused",
	EndpointLost: "endpoint-lost", NotHeld: "not-held", Closed: "closed", TableFull: "table-full",
	UnknownAddress: "unknown-address", NoEndpoint: "no-endpoint", Searched: "searched", NobodyHolds: "nobody-holds",
	ForeignService: "foreign-service", TooManyHops: "too-many-hops", EndpointReset: "endpoint-reset", SearchWaits: "search-waits", OpeningWaits: "opening-waits",
	Evacuated: "evacuated", EndpointCold: "endpoint-cold",
	OpeningRefused: "opening-refused", NameRequired: "name-required",
	HandingOver: "handing-over",
}

func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns every reason.
func Reasons() []Reason {
	all := make([]Reason, ReasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
