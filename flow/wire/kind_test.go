package wire

import (
	"testing"

	"cactustray/flow"

	"github.com/shoenig/test/must"
)

// Guards against traffic that is counted as another kind of message than it is.
func TestKindsOfDatagrams(t *testing.T) {
	key := flow.Key{Caller: flow.Address{IP: [4]byte{10, 0, 0, 1}, Port: 1}}
	envelope := func(kind Kind) []byte {
		b := make([]byte, EnvelopeSize)
		PutEnvelope(b, kind, Envelope{})
		return b
	}
	for _, c := range []struct {
		datagram []byte
		want     MessageKind
	}{
		{envelope(Forward), ForwardKind},
		{envelope(ForwardClass), ForwardKind},
		{envelope(ForwardNamed), ForwardKind},
		{envelope(Return), ReturnKind},
		{Encode(Hello{}), HelloKind},
		{Encode(Hello{Slots: 2, Clock: 1}), HelloKind},
		{Encode(Report{}), ReportKind},
		{Encode(Owner{Flow: key}), OwnerKind},
		{Encode(Denied{Flow: key}), OwnerKind},
		{Encode(DirectoryAnnouncement{Digest: 7}), AnnouncementKind},
		{Encode(Queries{Flows: []flow.Query{{Flow: key}}}), QueryKind},
		{Encode(Answers{Held: []flow.Key{key}}), AnswerKind},
		{Encode(BulkQuery{ID: 1 << 63, Fingerprints: []flow.Fingerprint{1}}), QueryKind},
		{Encode(BulkAnswer{ID: 7}), AnswerKind},
		{Encode(HandoverPart{From: 1}), HandoverKind},
		{Encode(HandoverQuery{Process: 1}), HandoverKind},
		{nil, UnknownKind},
		{[]byte{byte(Notice)}, UnknownKind},
		{[]byte{byte(Notice), 0xff}, UnknownKind},
		{[]byte{9, 1}, UnknownKind},
	} {
		must.EqOp(t, c.want, MessageKindOf(c.datagram), must.Sprint(c.datagram))
	}
}
