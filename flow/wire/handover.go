package wire

import (
	"encoding/binary"
	"time"

	"cactustray/flow"
	"cactustray/flow/flowpb"
	"cactustray/flow/handover"
)

// HandoverPart is a part of what an agent that stops knows, to a balancer or from it to the next
// agent.
type HandoverPart handover.Part

// HandoverQuery requests from a balancer the hand-over of the agent that stopped at the sender's address.
type HandoverQuery struct{ Process handover.Process }

const (
	heldFlowSize = keySize + 4
	// maxMillis bounds times, so that a malformed message makes none overflow.
	maxMillis = 1 << 40
)

// wholeMillisOf returns a time in milliseconds as a duration.
func wholeMillisOf(millis uint64) time.Duration {
	return time.Duration(min(millis, maxMillis)) * time.Millisecond
}

func encodeHandoverPart(m HandoverPart) *flowpb.HandoverPart {
	encoded := &flowpb.HandoverPart{
		From: uint64(m.From), StoppedMs: uint64(max(m.StoppedAt, 0).Milliseconds()), Number: uint32(m.Number), Count: uint32(m.Count), Complete: m.Complete, KnownMs: uint64(max(m.KnownFor, 0).Milliseconds()), Unsure: appendKeys(nil, m.Unsure),
	}
	for _, held := range m.Open {
		encoded.Open = binary.BigEndian.AppendUint32(appendKey(encoded.Open, held.Flow), held.Received)
	}
	return encoded
}

func decodeHandoverPart(p *flowpb.HandoverPart) HandoverPart {
	m := HandoverPart{
		From: handover.Process(p.GetFrom()), StoppedAt: wholeMillisOf(p.GetStoppedMs()), Number: int(p.GetNumber()), Count: int(p.GetCount()),
		Handover: flow.Handover{
			Complete: p.GetComplete(), KnownFor: wholeMillisOf(p.GetKnownMs()), Unsure: decodeKeys(p.GetUnsure()),
		},
	}
	for b := p.GetOpen(); len(b) >= heldFlowSize; b = b[heldFlowSize:] {
		m.Open = append(m.Open, flow.HeldFlow{Flow: decodeKey(b), Received: binary.BigEndian.Uint32(b[keySize:])})
	}
	return m
}
