package wire

import (
	"errors"
	"testing"
	"time"

	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/flowpb"
	"cactustray/placement"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

var (
	caller  = flow.Address{IP: [4]byte{100, 64, 0, 7}, Port: 40001}
	service = flow.Address{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	key     = flow.Key{Caller: caller, Service: service}
)

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range []Message{
		Hello{Slots: 4}, Hello{ColdLeft: 1500 * time.Millisecond, ColdRate: 2.3}, Hello{ColdRate: 0.001}, Hello{Leaving: true}, Hello{Slots: 2, EndpointStart: 1770858438937, Clock: 1770858439000},
		BulkQuery{ID: 1<<63 + 5, Fingerprints: []flow.Fingerprint{1, 1 << 31}},
		BulkAnswer{ID: 7, Complete: true, Held: []flow.Key{{Caller: caller, Service: service}}, Unsure: []flow.Fingerprint{9}},
		BulkAnswer{ID: 8},
		Report{Usage: placement.Usage{FlowsKnown: true, BulkQueries: true}},
		Report{Usage: placement.Usage{FlowsKnown: true}},
		Queries{Flows: []flow.Query{{Flow: key, Acknowledged: 1 << 31}, {Flow: flow.Key{Caller: service, Service: caller}}}},
		Answers{Held: []flow.Key{key}, Unsure: []flow.Key{key, key}}, Answers{Denied: []flow.Key{key}},
		Report{Usage: placement.Usage{Flows: 3, Running: 2, Mean: 1.25, Failing: 0.5, ProcessingTime: 3 * time.Millisecond, Interval: 250 * time.Millisecond, Silent: true, Leaving: true}, Balancers: []flow.Address{caller, service}, BalancersKnown: 1234 * time.Millisecond, RoutesStated: true, Routes: []flow.Address{service, caller}},
		Report{},
		Owner{Flow: key}, Owner{Flow: key, Agent: service},
		Denied{Flow: key},
		DirectoryAnnouncement{Position: directory.Position{Era: 2, Revision: 7}, Digest: 1 << 63, Age: 1500 * time.Microsecond, Control: caller},
	} {
		decoded, err := Decode(Encode(m))
		must.NoError(t, err)
		must.Eq(t, m, decoded)
	}
}

func TestEnvelopeRoundTrip(t *testing.T) {
	e := Envelope{StatedService: flow.StatedService{Tag: 513}, Delivery: flow.Delivery{Balancer: caller, Alternate: service, AlternateRunning: 3, Search: true, Silent: true, Evacuated: true, NameRequired: true, Hops: 7}}
	b := append(make([]byte, EnvelopeSize), "packet"...)
	PutEnvelope(b, Return, e)
	must.EqOp(t, Return, KindOf(b))
	opened, payload, err := OpenEnvelope(b)
	must.NoError(t, err)
	must.Eq(t, e, opened)
	must.EqOp(t, "packet", string(payload))
}

// A balancer or agent of an older build does not know the messages of a later one: it ignores them.
func TestUnknownMessageIsIgnored(t *testing.T) {
	laterField := protowire.EncodeTag(30, protowire.BytesType)
	message, err := Decode(append([]byte{byte(Notice)}, protowire.AppendBytes(protowire.AppendVarint(nil, laterField), []byte{8, 1})...))
	must.NoError(t, err)
	must.Nil(t, message)
}

// As many queries as a datagram may have, and their answers, fit into a packet.
func TestQueriesFitIntoOnePacket(t *testing.T) {
	const payload = 1500 - 28
	all, keys := make([]flow.Query, MaxQueries), make([]flow.Key, MaxQueries)
	must.LessEq(t, payload, len(Encode(Queries{Flows: all})))
	must.LessEq(t, payload, len(Encode(Answers{Denied: keys})))
}

// An announcement whose control address is too short is reported with its whole length.
func TestAnnouncementWithWrongAddress(t *testing.T) {
	news := &flowpb.Notice{Kind: &flowpb.Notice_News{News: &flowpb.News{Revision: 1, Control: []byte{10, 0}}}}
	short, err := proto.MarshalOptions{}.MarshalAppend([]byte{byte(Notice)}, news)
	must.NoError(t, err)
	_, err = Decode(short)
	var decode *DecodeError
	var address *AddressError
	must.True(t, errors.As(err, &decode), must.Sprint(err))
	must.True(t, errors.As(err, &address), must.Sprint(err))
	must.EqOp(t, len(short), decode.Length)
	must.EqOp(t, 2, address.Length)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Owner{Flow: key, Agent: service}))
	f.Add(Encode(DirectoryAnnouncement{Control: caller}))
	f.Add(Encode(Queries{Flows: []flow.Query{{Flow: key, Acknowledged: 7}}}))
	f.Add(Encode(Answers{Denied: []flow.Key{key}}))
	f.Add([]byte{byte(Notice), 0xff})
	f.Add(Encode(HandoverPart{From: 7, Count: 1, Handover: flow.Handover{Open: []flow.HeldFlow{{Flow: key}}, Unsure: []flow.Key{key}}}))
	f.Add([]byte{byte(Forward)})
	f.Add(AppendName(make([]byte, EnvelopeSize), "orders", flow.ByName))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := Decode(b)
		_, _, envelopeErr := OpenEnvelope(b)
		_, _, forwardErr := OpenForward(b)
		for _, err := range []error{err, envelopeErr, forwardErr} {
			var typed *DecodeError
			must.True(t, err == nil || errors.As(err, &typed))
		}
	})
}
