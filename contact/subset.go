// Package contact decides which agents a balancer keeps in touch with, at which intervals they
// exchange hello messages and load reports, and on the agent's side which balancer is due for a
// report. Traffic between failure domains must not grow with the product of balancers and
// agents. The decisions do no I/O, and the time is a parameter.
package contact

import (
	"cmp"
	"encoding/binary"
	"slices"

	"cactustray/flow"

	"github.com/cespare/xxhash/v2"
)

// Agent is the agent of an endpoint in another failure domain.
type Agent struct {
	Address flow.Address
	// Accepts is true if the endpoint accepts new flows.
	Accepts bool
	// Doubtful is true if the registry does not list the endpoint, or may list it wrongly:
	// only its agent's reports show whether it holds flows.
	Doubtful bool
	// Fails is true if the agent was contacted long enough ago and does not report.
	Fails bool
}

// choose returns the agents to keep in touch with: the first limit that accept new flows in the
// order of a failure domain, so that all balancers of the domain choose the same ones. An agent
// that fails is replaced by the next, and stays in touch, so that its return is seen; at most
// limit of these. Agents of doubtful endpoints are added.
func choose(zone string, agents []Agent, limit int) map[flow.Address]bool {
	chosen := make(map[flow.Address]bool)
	order := make([]ranked, 0, len(agents))
	for _, a := range agents {
		if a.Doubtful {
			chosen[a.Address] = true
		} else if a.Accepts {
			order = append(order, ranked{agent: a, score: score(zone, a.Address)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	working, failing := 0, 0
	for _, r := range order {
		switch {
		case working >= limit:
			return chosen
		case !r.agent.Fails:
			working++
		case failing >= limit:
			continue
		default:
			failing++
		}
		chosen[r.agent.Address] = true
	}
	return chosen
}

type ranked struct {
	agent Agent
	score uint64
}

// score is the place of an agent in the order of a failure domain (rendezvous hashing): a change
// of the agents changes the choice only by those that came or went.
func score(zone string, agent flow.Address) uint64 {
	key := append([]byte(zone), 0)
	key = append(key, agent.IP[:]...)
	return xxhash.Sum64(binary.BigEndian.AppendUint16(key, agent.Port))
}
