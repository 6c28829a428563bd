// Package spread runs the ticket decisions of many balancers in one process,
// over a network and a platform that are only delays, losses and cuts. Time is
// the network's own.
package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cactustray/ticket"
	"cactustray/ticket/exchange"

	"google.golang.org/protobuf/proto"
)

const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 2 * time.Second
	// zoneLatency and regionLatency are one way, within and between regions.
	zoneLatency   = time.Millisecond
	regionLatency = 40 * time.Millisecond
	// retransmitTimeout is the least that TCP waits for an acknowledgement.
	retransmitTimeout = 200 * time.Millisecond
	// CallOverhead is what one call costs on the wire beside its two
	// messages, in bytes, both ways on an open connection: headers, frames
	// and TLS records, which TestCallOverhead measures, and the TCP/IP
	// headers of two packets.
	CallOverhead = 260
)

// Size is how much of everything a network has.
type Size struct {
	Nodes, Zones, Regions int
	// Loss is the share of messages lost, 0 to 1.
	Loss float64
	Seed uint64
}

// Node is one balancer.
type Node struct {
	ticket.Peer
	State  *ticket.State
	Region int
	Up     bool
	// Calls and Bytes are what the node began and what it sent and received.
	Calls, Bytes int
	// BusyBytes is the most bytes of one second.
	BusyBytes int

	life    int
	second  int64
	inside  int
	reading ticket.Reading
	reads   int
	listed  bool
	backoff time.Duration
}

// Network is all balancers and the platform.
type Network struct {
	Now      time.Time
	Nodes    []*Node
	Platform Platform
	// Cut tells whether nothing passes between two nodes.
	Cut func(a, b *Node) bool
	// Observe, when set, sees every outcome of every node.
	Observe func(n *Node, out ticket.Output)

	size   Size
	random *rand.Rand
	byName map[string]*Node
	events events
}

// New returns a network of running nodes; each knows three seeds.
func New(size Size) *Network {
	n := &Network{
		Now:    time.Unix(0, 0),
		size:   size,
		random: rand.New(rand.NewPCG(size.Seed, 1)),
		byName: make(map[string]*Node),
		Cut:    func(_, _ *Node) bool { return false },
	}
	n.Platform.init()
	for i := range size.Nodes {
		zone := i % size.Zones
		node := &Node{Region: zone % size.Regions}
		node.Peer = ticket.Peer{Name: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("fd-%d", zone), Control: fmt.Sprintf("entry-%04d", i)}
		n.Nodes = append(n.Nodes, node)
		n.byName[node.Control] = node
	}
	for _, node := range n.Nodes {
		n.Start(node)
	}
	return n
}

// Start starts or restarts a node: it remembers nothing.
func (n *Network) Start(node *Node) {
	seed := rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
	node.State = ticket.NewState(n.Now, node.Peer, n.seeds(), seed)
	node.Up = true
	node.life++
	node.reading = ticket.Reading{}
	node.listed = false
	n.after(time.Duration(n.random.Int64N(int64(tickInterval))), n.tick(node, node.life))
}

// Stop ends a node.
func (n *Network) Stop(node *Node) {
	node.Up = false
	node.life++
}

func (n *Network) seeds() []ticket.Peer {
	const seeds = 3
	var peers []ticket.Peer
	for _, node := range n.Nodes[:min(seeds, len(n.Nodes))] {
		peers = append(peers, ticket.Peer{Control: node.Control})
	}
	return peers
}

// Run lets time pass.
func (n *Network) Run(d time.Duration) { n.Until(d, func() bool { return false }) }

// Until lets time pass until a condition, looked at every tick interval, holds.
// It returns how long that took, and false when it did not come to hold.
func (n *Network) Until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	began := n.Now
	look := began
	for len(n.events) > 0 {
		if !n.Now.Before(look) {
			if condition() {
				return n.Now.Sub(began), true
			}
			look = n.Now.Add(tickInterval / 10)
		}
		if n.events[0].at.Sub(began) > limit {
			n.Now = began.Add(limit)
			return limit, condition()
		}
		next := heap.Pop(&n.events).(event)
		n.Now = next.at
		next.run()
	}
	return n.Now.Sub(began), condition()
}

// InForce returns how many running nodes hold this content for a service.
func (n *Network) InForce(key ticket.ServiceKey, content uint64) int {
	count := 0
	for _, node := range n.Nodes {
		if entry := node.State.Entry(key); node.Up && entry != nil && entry.Content == content {
			count++
		}
	}
	return count
}

func (n *Network) tick(node *Node, life int) func() {
	return func() {
		if node.life != life {
			return
		}
		n.carryOut(node, node.State.Tick(n.Now))
		if reading := node.State.Reading(n.Now); reading != node.reading {
			node.reading = reading
			n.order(node)
		}
		n.after(tickInterval, n.tick(node, life))
	}
}

func (n *Network) carryOut(node *Node, out ticket.Output) {
	if n.Observe != nil {
		n.Observe(node, out)
	}
	for _, call := range out.Calls {
		n.call(node, call)
	}
}

// call carries a request to a peer and its response back, unless one is lost.
func (n *Network) call(from *Node, call ticket.Call) {
	to := n.byName[call.Peer.Control]
	life := from.life
	from.Calls++
	size := proto.Size(exchange.EncodeRequest(call.Request)) + CallOverhead
	n.count(from, size)
	answer := func(m ticket.Answered) func() {
		return func() {
			if from.life == life {
				n.carryOut(from, from.State.Answered(n.Now, m))
			}
		}
	}
	lost := ticket.Answered{Call: call, Failure: &LostError{}}
	latency := n.latency(from, to)
	retransmit := n.retransmit()
	if n.Cut(from, to) || retransmit > callTimeout {
		n.after(callTimeout, answer(lost))
		return
	}
	n.after(latency+retransmit, func() {
		if !to.Up {
			n.after(latency, answer(lost))
			return
		}
		response, out := to.State.Asked(n.Now, call.Request)
		n.count(to, size)
		n.carryOut(to, out)
		n.respond(from, to, response, answer(ticket.Answered{Call: call, Response: response}), answer(lost))
	})
}

func (n *Network) respond(from, to *Node, response ticket.Response, arrived, lost func()) {
	size := proto.Size(exchange.EncodeResponse(response))
	n.count(to, size)
	retransmit := n.retransmit()
	if n.Cut(from, to) || retransmit > callTimeout {
		n.after(callTimeout, lost)
		return
	}
	n.count(from, size)
	n.after(n.latency(from, to)+retransmit, arrived)
}

// LostError is a call that was lost.
type LostError struct{}

func (*LostError) Error() string { return "lost" }

// retransmit returns how long a message is late because it was lost: calls
// travel over TCP, which sends again after a doubling timeout.
func (n *Network) retransmit() time.Duration {
	var late time.Duration
	for timeout := retransmitTimeout; n.random.Float64() < n.size.Loss && late <= callTimeout; timeout *= 2 {
		late += timeout
	}
	return late
}

func (n *Network) latency(a, b *Node) time.Duration {
	base := zoneLatency
	if a.Region != b.Region {
		base = regionLatency
	}
	return base/2 + time.Duration(n.random.Int64N(int64(base)))
}

func (n *Network) count(node *Node, bytes int) {
	node.Bytes += bytes
	if second := n.Now.Unix(); second != node.second {
		node.second, node.inside = second, 0
	}
	node.inside += bytes
	node.BusyBytes = max(node.BusyBytes, node.inside)
}

// Reset sets the counters of all nodes and the platform to 0.
func (n *Network) Reset() {
	for _, node := range n.Nodes {
		node.Calls, node.Bytes, node.BusyBytes, node.inside = 0, 0, 0, 0
	}
	n.Platform.reset()
}

func (n *Network) after(d time.Duration, run func()) {
	heap.Push(&n.events, event{at: n.Now.Add(d), run: run})
}

type event struct {
	at  time.Time
	run func()
}

// events is a heap by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push and Pop serve container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
