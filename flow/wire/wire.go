// Package wire encodes the datagrams that balancers and agents exchange about flows:
// callers' packets in an envelope, and notices.
package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/flowpb"
	"cactustray/flow/handover"
	"cactustray/placement"

	"google.golang.org/protobuf/proto"
)

// Kind is the first byte of a datagram between nodes.
type Kind byte

const (
	// Forward carries a caller's packet to an agent.
	Forward Kind = 1
	// Return carries a caller's packet from an agent back to a balancer.
	Return Kind = 2
	// Notice carries a message.
	Notice Kind = 3
	// ForwardClass carries a caller's opening packet to an agent, followed by the class of
	// the request. Only agents that report ReadsClass get it.
	ForwardClass Kind = 4
	// ForwardNamed carries a caller's opening packet to an agent, followed by the class of the
	// request, if it is stated, and the name of the service. Agents whose last report does not
	// state ReadsServiceName do not get it.
	ForwardNamed Kind = 5
)

const (
	// EnvelopeSize is the length in bytes of the envelope before a caller's packet.
	EnvelopeSize = 17
	addressSize  = 6
	searchFlag   = 1
	silentFlag   = 2
	// evacuatedFlag is ignored by older builds, which try the next endpoint.
	evacuatedFlag = 4
	// noNameFlag marks a forwarded opening packet whose service's name was omitted, and a
	// returned one whose service's name is required.
	noNameFlag = 8
	hopsShift  = 4
	// maxBalancers bounds the balancers listed in a report.
	maxBalancers = 32
)

// Envelope precedes a caller's packet between nodes.
type Envelope struct {
	// StatedService is the packet's service. A returned packet states none.
	flow.StatedService
	flow.Delivery
}

// DecodeError reports a datagram that does not follow this protocol.
type DecodeError struct {
	Length int
	Cause  error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("datagram of %d bytes between nodes: %v", e.Length, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// ShortError reports a datagram that is truncated or of an unknown kind.
type ShortError struct{ Kind Kind }

func (e *ShortError) Error() string { return fmt.Sprintf("truncated, or unknown kind %d", e.Kind) }

// AddressError reports an address of the wrong length.
type AddressError struct{ Length int }

func (e *AddressError) Error() string { return fmt.Sprintf("address of %d bytes", e.Length) }

// PutEnvelope writes an envelope into the first EnvelopeSize bytes of b, without the name of the
// service, which AppendName adds.
func PutEnvelope(b []byte, kind Kind, e Envelope) {
	b[0], b[1] = byte(kind), e.Hops<<hopsShift
	if e.Search {
		b[1] |= searchFlag
	}
	if e.Silent {
		b[1] |= silentFlag
	}
	if e.Evacuated {
		b[1] |= evacuatedFlag
	}
	if e.NameRequired || e.Naming == flow.NameOmitted {
		b[1] |= noNameFlag
	}
	binary.BigEndian.PutUint16(b[2:], e.Tag)
	putAddress(b[4:], e.Balancer)
	putAddress(b[4+addressSize:], e.Alternate)
	b[4+2*addressSize] = e.AlternateRunning
}

// OpenEnvelope returns the envelope and the caller's packet of a datagram of the kind
// Forward or Return.
func OpenEnvelope(b []byte) (Envelope, []byte, error) {
	if len(b) < EnvelopeSize {
		return Envelope{}, nil, &DecodeError{Length: len(b), Cause: &ShortError{}}
	}
	e := Envelope{StatedService: flow.StatedService{Tag: binary.BigEndian.Uint16(b[2:])}}
	e.Search = b[1]&searchFlag != 0
	e.Silent = b[1]&silentFlag != 0
	e.Evacuated = b[1]&evacuatedFlag != 0
	switch withoutName := b[1]&noNameFlag != 0; {
	case withoutName && KindOf(b) == Return:
		e.NameRequired = true
	case withoutName:
		e.Naming = flow.NameOmitted
	}
	e.Hops = b[1] >> hopsShift
	e.Balancer = decodeAddress(b[4:])
	e.Alternate = decodeAddress(b[4+addressSize:])
	e.AlternateRunning = b[4+2*addressSize]
	return e, b[EnvelopeSize:], nil
}

// KindOf returns the kind of a datagram, or 0 if it is empty.
func KindOf(b []byte) Kind {
	if len(b) == 0 {
		return 0
	}
	return Kind(b[0])
}

func putAddress(b []byte, a flow.Address) {
	copy(b, a.IP[:])
	binary.BigEndian.PutUint16(b[4:], a.Port)
}

func decodeAddress(b []byte) (a flow.Address) {
	copy(a.IP[:], b)
	a.Port = binary.BigEndian.Uint16(b[4:])
	return a
}

// Message is one of the message types below.
type Message interface{}

// Hello informs an agent that the sender may send it flows.
type Hello struct {
	// Slots is how many requests the agent's endpoint works on at once, or 0 if that is not
	// known.
	Slots   int
	Leaving bool
	// EndpointStart is when the agent's endpoint started, by the endpoint's clock, and Clock
	// the balancer's time of day when it sent this: in milliseconds since the Unix epoch.
	EndpointStart int64
	Clock         int64
	// EndpointKnown is for how long the balancer has known of the endpoint's start, up to
	// MaxEndpointKnown; 0 if not stated. It is sent in whole milliseconds.
	EndpointKnown time.Duration
	// Evacuated is true if the failure domain of the endpoint is evacuated. This, ColdLeft and
	// ColdRate are from the directory at Position.
	Evacuated bool
	Position  directory.Position
	// ColdLeft is the endpoint's remaining warm-up time, sent in whole milliseconds, and
	// ColdRate how many new flows a second it can take meanwhile; 0 if that is not limited.
	ColdLeft time.Duration
	ColdRate float64
	// Remote is true if the balancer is in another failure domain than the agent.
	Remote bool
	// ReportInterval is the interval between two reports that the balancer requests; 0 if the
	// agent decides.
	ReportInterval time.Duration
}

// MaxEndpointKnown is the largest value of Hello.EndpointKnown. An agent that runs for longer has no
// use for it.
const MaxEndpointKnown = 30 * time.Second

// Report informs a balancer of the load of the sender's endpoint and, in some reports,
// of the balancers that send the sender Hello messages.
type Report struct {
	placement.Usage
	Balancers []flow.Address
	// BalancersKnown is how long ago the sender received its first Hello message from any
	// balancer, or 0 if not stated. It is sent in whole milliseconds.
	BalancersKnown time.Duration
	// ReadsClass is true if the sender reads datagrams of the kind ForwardClass.
	ReadsClass bool
	// RoutesStated is true if Routes has the route of every flow that the endpoint holds.
	RoutesStated bool
	Routes       []flow.Address
}

// Owner informs a balancer which agent holds a flow; a zero Agent is the sender.
type Owner struct {
	Flow  flow.Key
	Agent flow.Address
}

// Denied informs a balancer that the sender's endpoint does not hold a flow.
type Denied struct{ Flow flow.Key }

// Queries is the question which of the flows an agent's endpoint holds. A datagram has at
// most MaxQueries.
type Queries struct{ Flows []flow.Query }

// Answers is an agent's answer to Queries.
type Answers struct{ Held, Denied, Unsure []flow.Key }

// DirectoryAnnouncement announces to a balancer the revision of the sender's directory.
type DirectoryAnnouncement struct {
	directory.Position
	Digest uint64
	// Age is the time since the revision was last known to be the newest.
	Age time.Duration
	// Control is the address from which the sender's directory can be fetched.
	Control flow.Address
	// Zone is the sender's failure domain, or empty if it does not state it.
	Zone string
}

// Encode returns the datagram of a message.
func Encode(m Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(Notice)}, encodeNotice(m))
	if err != nil {
		// Marshaling fails only on strings that are not UTF-8, and no message has strings.
		return nil
	}
	return b
}

func encodeNotice(m Message) *flowpb.Notice {
	switch m := m.(type) {
	case Hello:
		return &flowpb.Notice{Kind: &flowpb.Notice_Hello{Hello: encodeHello(m)}}
	case Report:
		return &flowpb.Notice{Kind: &flowpb.Notice_Report{Report: encodeReport(m)}}
	case Owner:
		owner := &flowpb.Owner{Flow: encodeFlow(m.Flow)}
		if !m.Agent.IsZero() {
			owner.Agent = appendAddress(nil, m.Agent)
		}
		return &flowpb.Notice{Kind: &flowpb.Notice_Owner{Owner: owner}}
	case Denied:
		return &flowpb.Notice{Kind: &flowpb.Notice_Denied{Denied: &flowpb.Denied{Flow: encodeFlow(m.Flow)}}}
	case Queries:
		return &flowpb.Notice{Kind: &flowpb.Notice_Queries{Queries: &flowpb.Queries{Flows: appendQueries(nil, m.Flows)}}}
	case Answers:
		answers := &flowpb.Answers{Held: appendKeys(nil, m.Held), Denied: appendKeys(nil, m.Denied), Unsure: appendKeys(nil, m.Unsure)}
		return &flowpb.Notice{Kind: &flowpb.Notice_Answers{Answers: answers}}
	case BulkQuery:
		query := &flowpb.BulkQuery{Id: m.ID, Fingerprints: appendFingerprints(nil, m.Fingerprints)}
		return &flowpb.Notice{Kind: &flowpb.Notice_BulkQuery{BulkQuery: query}}
	case BulkAnswer:
		answer := &flowpb.BulkAnswer{Id: m.ID, Complete: m.Complete, Held: appendKeys(nil, m.Held), Unsure: appendFingerprints(nil, m.Unsure)}
		return &flowpb.Notice{Kind: &flowpb.Notice_BulkAnswer{BulkAnswer: answer}}
	case HandoverPart:
		return &flowpb.Notice{Kind: &flowpb.Notice_HandoverPart{HandoverPart: encodeHandoverPart(m)}}
	case HandoverQuery:
		return &flowpb.Notice{Kind: &flowpb.Notice_HandoverQuery{HandoverQuery: &flowpb.HandoverQuery{Process: uint64(m.Process)}}}
	case DirectoryAnnouncement:
		news := &flowpb.News{
			Era: uint64(m.Era), Revision: uint64(m.Revision), Digest: m.Digest,
			AgeUs: uint64(max(m.Age, 0).Microseconds()), Control: appendAddress(nil, m.Control), Zone: m.Zone,
		}
		return &flowpb.Notice{Kind: &flowpb.Notice_News{News: news}}
	default:
		return &flowpb.Notice{}
	}
}

func encodeHello(m Hello) *flowpb.Hello {
	return &flowpb.Hello{
		Slots: uint32(m.Slots), Leaving: m.Leaving, EndpointStartMs: m.EndpointStart, ClockMs: m.Clock,
		Evacuated: m.Evacuated, Era: uint64(m.Position.Era), Revision: uint64(m.Position.Revision),
		ColdLeftMs: uint32(max(m.ColdLeft, 0).Milliseconds()), ColdRateMilli: thousandths(m.ColdRate),
		Remote: m.Remote, ReportIntervalMs: uint32(max(m.ReportInterval, 0).Milliseconds()),
		EndpointKnownMs: uint32(min(max(m.EndpointKnown, 0), MaxEndpointKnown).Milliseconds()),
	}
}

// thousandths returns a rate in thousandths, rounded; one above 0 is at least 1, since 0 has another
// meaning.
func thousandths(rate float64) uint32 {
	if !(rate > 0) {
		return 0
	}
	return uint32(min(max(math.Round(rate*1000), 1), math.MaxUint32))
}

func decodeHello(h *flowpb.Hello) Hello {
	return Hello{
		Slots: int(h.GetSlots()), Leaving: h.GetLeaving(), EndpointStart: h.GetEndpointStartMs(), Clock: h.GetClockMs(),
		Evacuated: h.GetEvacuated(),
		Position:  directory.Position{Era: directory.Era(h.GetEra()), Revision: directory.Revision(h.GetRevision())},
		ColdLeft:  time.Duration(h.GetColdLeftMs()) * time.Millisecond, ColdRate: float64(h.GetColdRateMilli()) / 1000,
		Remote: h.GetRemote(), ReportInterval: time.Duration(h.GetReportIntervalMs()) * time.Millisecond,
		EndpointKnown: time.Duration(h.GetEndpointKnownMs()) * time.Millisecond,
	}
}

func appendAddress(b []byte, a flow.Address) []byte {
	b = append(b, a.IP[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port)
}

func encodeReport(m Report) *flowpb.Report {
	r := &flowpb.Report{
		Flows: uint32(m.Flows), Running: uint32(m.Running), MeanMilli: uint32(m.Mean * 1000),
		Silent: m.Silent, Leaving: m.Leaving, FailingMilli: uint32(m.Failing * 1000),
		AnswerUs:   uint32(min(m.ProcessingTime.Microseconds(), math.MaxUint32)),
		IntervalMs: uint32(m.Interval.Milliseconds()), FlowsKnown: m.FlowsKnown,
		BalancersKnownMs: uint32(min(m.BalancersKnown.Milliseconds(), math.MaxUint32)), ReadsClass: m.ReadsClass,
		RoutesStated: m.RoutesStated, BulkQueries: m.BulkQueries, ReadsServiceName: m.ReadsServiceName,
	}
	for _, b := range m.Balancers[:min(len(m.Balancers), maxBalancers)] {
		r.Balancers = appendAddress(r.Balancers, b)
	}
	for _, route := range m.Routes {
		r.Routes = appendAddress(r.Routes, route)
	}
	return r
}

func encodeFlow(k flow.Key) *flowpb.Flow {
	return &flowpb.Flow{
		CallerIp: binary.BigEndian.Uint32(k.Caller.IP[:]), CallerPort: uint32(k.Caller.Port),
		ServiceIp: binary.BigEndian.Uint32(k.Service.IP[:]), ServicePort: uint32(k.Service.Port),
	}
}

func decodeFlow(f *flowpb.Flow) flow.Key {
	var k flow.Key
	binary.BigEndian.PutUint32(k.Caller.IP[:], f.GetCallerIp())
	binary.BigEndian.PutUint32(k.Service.IP[:], f.GetServiceIp())
	k.Caller.Port, k.Service.Port = uint16(f.GetCallerPort()), uint16(f.GetServicePort())
	return k
}

// Decode returns the message in a datagram of the kind Notice, or nil for a message
// that this version does not know.
func Decode(b []byte) (Message, error) {
	var n flowpb.Notice
	if KindOf(b) != Notice {
		return nil, &DecodeError{Length: len(b), Cause: &ShortError{Kind: KindOf(b)}}
	}
	if err := proto.Unmarshal(b[1:], &n); err != nil {
		return nil, &DecodeError{Length: len(b), Cause: err}
	}
	switch kind := n.GetKind().(type) {
	case *flowpb.Notice_Hello:
		return decodeHello(kind.Hello), nil
	case *flowpb.Notice_Report:
		return decodeReport(kind.Report), nil
	case *flowpb.Notice_Owner:
		owner := Owner{Flow: decodeFlow(kind.Owner.GetFlow())}
		if agent := kind.Owner.GetAgent(); len(agent) == addressSize {
			owner.Agent = decodeAddress(agent)
		}
		return owner, nil
	case *flowpb.Notice_Denied:
		return Denied{Flow: decodeFlow(kind.Denied.GetFlow())}, nil
	case *flowpb.Notice_Queries:
		return Queries{Flows: decodeQueries(kind.Queries.GetFlows())}, nil
	case *flowpb.Notice_Answers:
		a := kind.Answers
		return Answers{Held: decodeKeys(a.GetHeld()), Denied: decodeKeys(a.GetDenied()), Unsure: decodeKeys(a.GetUnsure())}, nil
	case *flowpb.Notice_BulkQuery:
		return BulkQuery{ID: kind.BulkQuery.GetId(), Fingerprints: decodeFingerprints(kind.BulkQuery.GetFingerprints())}, nil
	case *flowpb.Notice_BulkAnswer:
		a := kind.BulkAnswer
		return BulkAnswer{
			ID: a.GetId(), Complete: a.GetComplete(), Held: decodeKeys(a.GetHeld()), Unsure: decodeFingerprints(a.GetUnsure()),
		}, nil
	case *flowpb.Notice_HandoverPart:
		return decodeHandoverPart(kind.HandoverPart), nil
	case *flowpb.Notice_HandoverQuery:
		return HandoverQuery{Process: handover.Process(kind.HandoverQuery.GetProcess())}, nil
	case *flowpb.Notice_News:
		news, err := decodeNews(kind.News)
		if err != nil {
			return nil, &DecodeError{Length: len(b), Cause: err}
		}
		return news, nil
	default:
		return nil, nil
	}
}

func decodeNews(n *flowpb.News) (Message, error) {
	if len(n.GetControl()) != addressSize {
		return nil, &AddressError{Length: len(n.GetControl())}
	}
	age := time.Duration(n.GetAgeUs()) * time.Microsecond
	return DirectoryAnnouncement{
		Position: directory.Position{Era: directory.Era(n.GetEra()), Revision: directory.Revision(n.GetRevision())},
		Digest:   n.GetDigest(), Age: age, Control: decodeAddress(n.GetControl()), Zone: n.GetZone(),
	}, nil
}

func decodeReport(r *flowpb.Report) Report {
	m := Report{Usage: placement.Usage{
		Flows: int(r.GetFlows()), Running: int(r.GetRunning()), Mean: float64(r.GetMeanMilli()) / 1000,
		Silent: r.GetSilent(), Leaving: r.GetLeaving(), Failing: float64(r.GetFailingMilli()) / 1000,
		ProcessingTime: time.Duration(r.GetAnswerUs()) * time.Microsecond,
		Interval:       time.Duration(r.GetIntervalMs()) * time.Millisecond,
		FlowsKnown:     r.GetFlowsKnown(), BulkQueries: r.GetBulkQueries(), ReadsServiceName: r.GetReadsServiceName(),
	}, BalancersKnown: time.Duration(r.GetBalancersKnownMs()) * time.Millisecond, ReadsClass: r.GetReadsClass(), RoutesStated: r.GetRoutesStated()}
	for b := r.GetBalancers(); len(b) >= addressSize; b = b[addressSize:] {
		m.Balancers = append(m.Balancers, decodeAddress(b))
	}
	for b := r.GetRoutes(); len(b) >= addressSize; b = b[addressSize:] {
		m.Routes = append(m.Routes, decodeAddress(b))
	}
	return m
}
