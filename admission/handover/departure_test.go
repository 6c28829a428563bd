package handover

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/ticket"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
)

// receiver stores the messages of a departure and refuses those from number refuseFrom on.
type receiver struct {
	received   []admission.Departure
	refuseFrom int
}

func (r *receiver) Handle(_ time.Time, message control.Message) {
	if m, ok := message.(admission.DepartureReceived); ok {
		r.received = append(r.received, m.Departure)
		m.Reply <- len(r.received) < r.refuseFrom
	}
}

func (*receiver) Tick(time.Time, time.Duration) {}

// self and peer are the endpoints of the sender and of the receiver.
const self, peer ticket.EndpointKey = 7, 8

// send sends a departure to a receiver and returns the result.
func send(t *testing.T, r *receiver, departure Departure) error {
	loop := control.NewLoop(time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	running := make(chan struct{})
	go func() {
		defer close(running)
		_ = loop.Run(ctx, r)
	}()
	defer func() { cancel(); <-running }()
	_, handler := NewServer(loop).Handler()
	server := httptest.NewTLSServer(handler)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "https://"))
	return departure.Send(ctx, server.Client(), peer, address)
}

// The receiver gets the records as they were sent, after a first message without records and
// before a last one that completes the departure.
func TestDepartureArrivesAsSent(t *testing.T) {
	answer := &admission.StoredAnswer{Status: 200, Header: map[string][]string{"Content-Type": {"text/plain"}}, Body: []byte("confirmed")}
	records := []admission.HandedRecord{
		{Key: "truck-1", Fingerprint: 3, Answer: answer},
		{Key: "truck-2", Fingerprint: 4},
		{Key: "truck-3", Replica: true, Age: time.Minute},
	}
	r := &receiver{refuseFrom: 100}
	handOver := admission.HandOver{Records: records, Owners: []ticket.EndpointKey{peer}, Fresh: true}
	must.NoError(t, send(t, r, Departure{Endpoint: self, ID: 9, HandOver: handOver}))
	first := admission.Departure{Endpoint: self, ID: 9, Fresh: true}
	second, last := first, first
	second.Records, last.Complete = records, true
	must.Eq(t, []admission.Departure{first, second, last}, r.received)
}

// Records with large answers are sent in several messages.
func TestLargeDepartureIsSentInBatches(t *testing.T) {
	large := &admission.StoredAnswer{Body: make([]byte, maxBatchBytes/2)}
	records := []admission.HandedRecord{{Key: "truck-1", Answer: large}, {Key: "truck-2", Answer: large}, {Key: "truck-3"}}
	must.EqOp(t, 1, batchLength(records))
	must.EqOp(t, 2, batchLength(records[1:]))
}

// An agent that refuses the records is not sent them again.
func TestRefusedDepartureIsNotSentAgain(t *testing.T) {
	r := &receiver{refuseFrom: 2}
	err := send(t, r, Departure{Endpoint: self, ID: 9})
	must.EqOp(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
	must.SliceLen(t, 2, r.received)
}

// A stored answer that no agent can send to a caller counts as unknown.
func TestAnswerWithInvalidStatusIsUnknown(t *testing.T) {
	for _, status := range []int{0, 101, 1000} {
		must.Nil(t, decodeAnswer(encodeAnswer(&admission.StoredAnswer{Status: status})))
	}
}
