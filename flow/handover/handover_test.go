package handover

import (
	"testing"
	"time"

	"cactustray/flow"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var agent = flow.Address{IP: [4]byte{10, 0, 0, 1}, Port: 7}

func keyOf(i int) flow.Key {
	return flow.Key{Caller: flow.Address{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: 9}}
}

func handoverOf(open, unsure int, complete bool) flow.Handover {
	h := flow.Handover{Complete: complete}
	for i := range open {
		h.Open = append(h.Open, flow.HeldFlow{Flow: keyOf(i), Received: uint32(i)})
	}
	for i := range unsure {
		h.Unsure = append(h.Unsure, keyOf(open+i))
	}
	return h
}

// Guards against flows that are lost between two agents: in whatever order parts arrive, from
// whichever balancers, repeated or mixed with those of an earlier process, the hand-over is whole
// or none, and that of the process that stopped last counts.
func TestHandoverArrivesWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := handoverOf(rapid.IntRange(0, 400).Draw(t, "open"), rapid.IntRange(0, 100).Draw(t, "unsure"), rapid.Bool().Draw(t, "complete"))
		parts := Split(7, 2*time.Second, h)
		stores := make([]Store, 3)
		for _, part := range parts {
			must.LessEq(t, maxPartFlows, len(part.Open)+len(part.Unsure))
			for i := range stores {
				if rapid.Bool().Draw(t, "older part") {
					stores[i].Add(0, agent, Part{From: 3, StoppedAt: time.Second, Number: 0, Count: 1})
				}
				if rapid.Float64().Draw(t, "arrives") < 0.9 {
					stores[i].Add(time.Second, agent, part)
				}
			}
		}
		var received []Part
		for i := range stores {
			received = append(received, stores[i].Take(agent, 9)...)
		}
		arrived, begun, wholes := make(map[int]bool), false, 0
		var assembly Assembly
		for _, part := range rapid.Permutation(received).Draw(t, "order") {
			got, whole := assembly.Add(part)
			if part.From == 3 {
				must.False(t, whole && begun)
				continue
			}
			begun, arrived[part.Number] = true, true
			if !whole {
				continue
			}
			wholes++
			must.Len(t, len(h.Open), got.Open)
			must.Len(t, len(h.Unsure), got.Unsure)
			must.EqOp(t, h.Complete, got.Complete)
		}
		must.EqOp(t, len(arrived) == len(parts), wholes == 1)
		must.LessEq(t, 1, wholes)
	})
}

// Guards against an agent that takes the flows of one that ran two before it for all flows.
func TestHandoverGoesToOneProcess(t *testing.T) {
	var s Store
	s.Add(0, agent, Split(7, 0, handoverOf(1, 0, true))[0])
	must.Eq(t, []flow.Address{agent}, s.Awaited())
	must.SliceEmpty(t, s.Take(agent, 7)) // the process that stops
	must.Len(t, 1, s.Take(agent, 8))
	must.Len(t, 1, s.Take(agent, 8)) // its query was repeated
	must.SliceEmpty(t, s.Awaited())
	must.SliceEmpty(t, s.Take(agent, 9))
	// The next planned stop counts again.
	s.Add(time.Second, agent, Split(9, time.Second, handoverOf(2, 0, true))[0])
	s.Add(time.Second, agent, Split(7, 0, handoverOf(1, 0, true))[0]) // delayed on its way
	must.Len(t, 1, s.Take(agent, 10))
	must.Len(t, 2, s.Take(agent, 10)[0].Open)
}

// Guards against balancers that keep hand-overs of agents that never return.
func TestHandoversExpire(t *testing.T) {
	var s Store
	for i := range 10_000 {
		s.Add(time.Duration(i)*time.Millisecond, flow.Address{Port: uint16(i)}, Split(7, 0, handoverOf(1, 0, true))[0])
	}
	must.LessEq(t, maxStoredParts, s.parts)
	s.Expire(10*time.Second + lifetime)
	must.EqOp(t, 0, s.parts)
	must.MapEmpty(t, s.agents)
}

// Guards against memory that a malformed part claims.
func TestMalformedPartIsIgnored(t *testing.T) {
	var a Assembly
	for _, part := range []Part{{Count: 0}, {Number: 1, Count: 1}, {Number: -1, Count: 1}, {Count: maxCount + 1}} {
		_, whole := a.Add(part)
		must.False(t, whole)
	}
}
