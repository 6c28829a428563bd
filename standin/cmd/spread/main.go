// Spread measures how tickets reach all balancers by gossip, with the real decision code
// and a simulated network: the time until a ticket is in force everywhere, bytes per node,
// and calls to the platform.
package main

import (
	"fmt"
	"slices"
	"time"

	"cactustray/standin/spread"
	"cactustray/ticket"

	"github.com/alecthomas/kong"
)

const (
	// limit is the timeout of every wait, in virtual time.
	limit      = 10 * time.Minute
	steadyTime = time.Minute
	outageTime = 2 * time.Minute
)

type options struct {
	Nodes     int     `default:"100" help:"Number of balancers."`
	Zones     int     `default:"10" help:"Number of failure domains."`
	Regions   int     `default:"3" help:"Number of regions."`
	Services  int     `default:"100" help:"Number of services."`
	Endpoints int     `default:"11" help:"Endpoints of each service."`
	Loss      float64 `help:"Fraction of messages lost, 0 to 1."`
	Tickets   int     `default:"20" help:"Tickets published one by one."`
	Missed    int     `default:"0" help:"Tickets published while one region is cut; 0 leaves this out."`
	Seed      uint64  `default:"1" help:"Seed of all random choices."`
}

type run struct {
	options
	*spread.Network
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("spread"))
	r := &run{options: o}
	r.Network = spread.New(spread.Size{Nodes: o.Nodes, Zones: o.Zones, Regions: o.Regions, Loss: o.Loss, Seed: o.Seed})
	fmt.Printf("nodes %d, zones %d, regions %d, services %d, loss %.0f%%, seed %d\n", o.Nodes, o.Zones, o.Regions, o.Services, 100*o.Loss, o.Seed)
	r.coldStart()
	r.steady()
	r.tickets()
	if o.Missed > 0 {
		r.cutRegion()
	}
	r.outage()
}

func (r *run) coldStart() {
	for i := range r.Services {
		r.Publish(spread.Ticket(i, 1, 0, r.Endpoints))
	}
	took, ok := r.Until(limit, r.allReady)
	r.print("cold start of all", took, ok)
	r.Run(steadyTime)
}

func (r *run) allReady() bool {
	for _, n := range r.Network.Nodes {
		if !n.State.Started() || n.State.Len() < r.Services {
			return false
		}
	}
	return true
}

func (r *run) steady() {
	r.ResetCounters()
	r.Run(steadyTime)
	fmt.Printf("%-28s %.0f bytes/s a node, busiest node %.0f bytes/s, platform %.2f calls/s\n", "steady",
		r.meanBytes()/steadyTime.Seconds(), r.maxBytes()/steadyTime.Seconds(), float64(r.Platform.Calls)/steadyTime.Seconds())
}

func (r *run) tickets() {
	var times []time.Duration
	bytes := 0.0
	calls := 0
	for i := range r.Tickets {
		r.ResetCounters()
		published := r.Publish(spread.Ticket(i%r.Services, ticket.Number(2+i/r.Services), 0, r.Endpoints))
		took, ok := r.Until(limit, r.inForceEverywhere(published))
		if !ok {
			fmt.Println("ticket not in force on all nodes within", limit)
			return
		}
		times = append(times, took)
		calls += r.Platform.Calls
		r.Run(steadyTime/10 - took%(steadyTime/10))
		bytes += r.meanBytes()
	}
	slices.Sort(times)
	fmt.Printf("%-28s p50 %v, max %v until everywhere; %.0f bytes a node in the %v after each\n", "one ticket",
		times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), bytes/float64(r.Tickets), steadyTime/10)
}

func (r *run) inForceEverywhere(published ticket.Record) func() bool {
	return func() bool { return r.InForce(published.Ticket.Key(), published.Content) == len(r.Network.Nodes) }
}

// cutRegion cuts region 0 off from the other regions and the platform while tickets are
// published, and measures how long it takes to catch up afterwards.
func (r *run) cutRegion() {
	r.Cut = func(a, b *spread.Node) bool { return (a.Region == 0) != (b.Region == 0) }
	r.Platform.Down = func(n *spread.Node) bool { return n.Region == 0 }
	var last []ticket.Record
	for i := range r.Missed {
		last = append(last, r.Publish(spread.Ticket(i%r.Services, ticket.Number(100+i/r.Services), 0, r.Endpoints)))
		r.Run(tickInterval)
	}
	r.Run(steadyTime)
	r.ResetCounters()
	r.Cut = func(_, _ *spread.Node) bool { return false }
	r.Platform.Down = func(*spread.Node) bool { return false }
	took, ok := r.Until(limit, func() bool {
		for _, published := range last[max(0, len(last)-r.Services):] {
			if !r.inForceEverywhere(published)() {
				return false
			}
		}
		return true
	})
	r.print(fmt.Sprintf("region back, %d tickets", r.Missed), took, ok)
	r.Run(steadyTime)
}

const tickInterval = 100 * time.Millisecond

func (r *run) outage() {
	r.Platform.Down = func(*spread.Node) bool { return true }
	r.ResetCounters()
	r.Run(outageTime)
	fmt.Printf("%-28s busiest second %d platform calls\n", "platform down "+outageTime.String(), r.Platform.PeakCalls)
	r.Platform.Down = func(*spread.Node) bool { return false }
	r.ResetCounters()
	r.Run(steadyTime)
	fmt.Printf("%-28s busiest second %d platform calls\n", "platform back", r.Platform.PeakCalls)
}

func (r *run) print(what string, took time.Duration, ok bool) {
	fmt.Printf("%-28s %v (reached %v); %.0f bytes a node, busiest second of a node %d bytes, platform busiest second %d calls\n",
		what, took.Round(time.Millisecond), ok, r.meanBytes(), r.peakBytes(), r.Platform.PeakCalls)
}

func (r *run) meanBytes() float64 {
	total := 0
	for _, n := range r.Network.Nodes {
		total += n.Bytes
	}
	return float64(total) / float64(len(r.Network.Nodes))
}

func (r *run) maxBytes() float64 {
	most := 0
	for _, n := range r.Network.Nodes {
		most = max(most, n.Bytes)
	}
	return float64(most)
}

func (r *run) peakBytes() int {
	most := 0
	for _, n := range r.Network.Nodes {
		most = max(most, n.PeakBytes)
	}
	return most
}
