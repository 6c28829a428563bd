package packetagent

import (
	"time"

	"cactustray/flow"
	"cactustray/placement"
	"cactustray/settings"
)

// introductionPeriod is how long an agent introduces itself to a balancer that sends it no hello
// messages: entries of endpoints that live are registered again sooner.
const introductionPeriod = 10 * time.Second

// maxIntroductionPause bounds the pause between two reports to such a balancer: it may start at
// any time, and has to know the agent before it ends flows.
const maxIntroductionPause = 800 * time.Millisecond

// introductions are the balancers that the agent reports to although they send it no hello
// messages. A balancer that has started does not know the agent if the entry of its endpoint
// has expired, and then no other balancer may run that knows it.
//
// Invariant: the pause between two reports to such a balancer doubles up to
// maxIntroductionPause, so that the agents of a large deployment do not flood a balancer that
// starts.
type introductions map[flow.Address]*introduction

type introduction struct {
	until time.Duration
	due   time.Duration
	pause time.Duration
}

// begin starts the introduction to a balancer that does not send hello messages, or no longer.
func (all introductions) begin(now time.Duration, balancer flow.Address) {
	all[balancer] = &introduction{until: now + introductionPeriod, due: now, pause: placement.ReportInterval}
}

// seedsOf returns the addresses at which the seed balancers receive reports: at the port that
// all nodes use.
func seedsOf(p *settings.PacketSettings) []flow.Address {
	var seeds []flow.Address
	for _, control := range p.SeedAddresses() {
		seed := flow.AddressOf(control)
		seed.Port = p.Peer.Port()
		seeds = append(seeds, seed)
	}
	return seeds
}

// take returns the balancers that are due for a report, and removes those whose time is over.
func (all introductions) take(now time.Duration) []flow.Address {
	var due []flow.Address
	for balancer, i := range all {
		switch {
		case now >= i.until:
			delete(all, balancer)
		case now >= i.due:
			due = append(due, balancer)
			i.due, i.pause = now+i.pause, min(2*i.pause, maxIntroductionPause)
		}
	}
	return due
}
