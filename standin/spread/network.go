// Package spread simulates the gossip of tickets among many balancers in one process and
// in virtual time: the decision code is real; the network and the platform are simulated
// by delays, losses and cuts.
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
	// intraRegionLatency and interRegionLatency are mean one-way latencies within a region
	// and between regions.
	intraRegionLatency = time.Millisecond
	interRegionLatency = 40 * time.Millisecond
	// retransmitTimeout is TCP's minimum retransmission timeout.
	retransmitTimeout = 200 * time.Millisecond
	// CallOverhead is the size of a call on an open connection, sent and received, without
	// its two messages, in bytes: headers, frames and TLS records, which TestCallOverhead
	// measures, and the TCP/IP headers of two packets.
	CallOverhead = 260
)

// Size sets the size of a network.
type Size struct {
	Nodes, Zones, Regions int
	// Loss is the fraction of messages lost, 0 to 1.
	Loss float64
	Seed uint64
}

// Node is one balancer.
type Node struct {
	ticket.Peer
	State  *ticket.State
	Region int
	Up     bool
	// Calls is the number of calls that the node made, Bytes the bytes that it sent and
	// received.
	Calls, Bytes int
	// PeakBytes is the greatest number of bytes within a second.
	PeakBytes int

	generation   int
	second       int64
	secondBytes  int
	mode         ticket.ReadMode
	readSequence int
	listed       bool
	backoff      time.Duration
}

// Network simulates the balancers, the network between them, and the platform.
type Network struct {
	Now      time.Time
	Nodes    []*Node
	Platform Platform
	// Cut reports whether all messages between two nodes are lost.
	Cut func(a, b *Node) bool
	// Observe, unless nil, is called with every output of every node.
	Observe func(n *Node, out ticket.Output)

	size   Size
	random *rand.Rand
	byName map[string]*Node
	events events
}

// New returns a network of running nodes, each with the same three seeds.
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

// Start starts or restarts a node with an empty state.
func (n *Network) Start(node *Node) {
	seed := rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
	node.State = ticket.NewState(n.Now, node.Peer, n.seeds(), seed)
	node.Up = true
	node.generation++
	node.mode = ticket.ReadMode{}
	node.listed = false
	n.after(time.Duration(n.random.Int64N(int64(tickInterval))), n.tick(node, node.generation))
}

// Stop stops a node.
func (n *Network) Stop(node *Node) {
	node.Up = false
	node.generation++
}

func (n *Network) seeds() []ticket.Peer {
	const seeds = 3
	var peers []ticket.Peer
	for _, node := range n.Nodes[:min(seeds, len(n.Nodes))] {
		peers = append(peers, ticket.Peer{Control: node.Control})
	}
	return peers
}

// Run advances the virtual time by d.
func (n *Network) Run(d time.Duration) { n.Until(d, func() bool { return false }) }

// Until advances the virtual time until a condition, checked ten times per tick interval,
// is true or the limit has passed. It returns the time elapsed and whether the condition is
// true.
func (n *Network) Until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	began := n.Now
	nextCheck := began
	for len(n.events) > 0 {
		if !n.Now.Before(nextCheck) {
			if condition() {
				return n.Now.Sub(began), true
			}
			nextCheck = n.Now.Add(tickInterval / 10)
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

// InForce returns the number of running nodes on which this content is in force for a
// service.
func (n *Network) InForce(key ticket.ServiceKey, content uint64) int {
	count := 0
	for _, node := range n.Nodes {
		if entry := node.State.Entry(key); node.Up && entry != nil && entry.Content == content {
			count++
		}
	}
	return count
}

func (n *Network) tick(node *Node, generation int) func() {
	return func() {
		if node.generation != generation {
			return
		}
		n.execute(node, node.State.Tick(n.Now))
		if mode := node.State.ReadMode(n.Now); mode != node.mode {
			node.mode = mode
			n.startReading(node)
		}
		n.after(tickInterval, n.tick(node, generation))
	}
}

// execute makes the calls of a node's output.
func (n *Network) execute(node *Node, out ticket.Output) {
	if n.Observe != nil {
		n.Observe(node, out)
	}
	for _, call := range out.Calls {
		n.call(node, call)
	}
}

// call delivers a request to a peer and the response to the caller. The call fails if a
// message is lost or the peer is stopped.
func (n *Network) call(from *Node, call ticket.Call) {
	to := n.byName[call.Peer.Control]
	generation := from.generation
	from.Calls++
	size := proto.Size(exchange.EncodeRequest(call.Request)) + CallOverhead
	n.count(from, size)
	answer := func(m ticket.CallEnded) func() {
		return func() {
			if from.generation == generation {
				n.execute(from, from.State.CallEnded(n.Now, m))
			}
		}
	}
	lost := ticket.CallEnded{Call: call, Failure: &LostError{}}
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
		response, out := to.State.Query(n.Now, call.Request)
		n.count(to, size)
		n.execute(to, out)
		n.respond(from, to, response, answer(ticket.CallEnded{Call: call, Response: response}), answer(lost))
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

// LostError reports a call without a response: a message was lost or the peer was stopped.
type LostError struct{}

func (*LostError) Error() string { return "call lost" }

// retransmit returns the random delay of a message by retransmissions: calls use TCP, which
// retransmits a lost segment after a timeout that doubles each time.
func (n *Network) retransmit() time.Duration {
	var late time.Duration
	for timeout := retransmitTimeout; n.random.Float64() < n.size.Loss && late <= callTimeout; timeout *= 2 {
		late += timeout
	}
	return late
}

func (n *Network) latency(a, b *Node) time.Duration {
	base := intraRegionLatency
	if a.Region != b.Region {
		base = interRegionLatency
	}
	return base/2 + time.Duration(n.random.Int64N(int64(base)))
}

func (n *Network) count(node *Node, bytes int) {
	node.Bytes += bytes
	if second := n.Now.Unix(); second != node.second {
		node.second, node.secondBytes = second, 0
	}
	node.secondBytes += bytes
	node.PeakBytes = max(node.PeakBytes, node.secondBytes)
}

// ResetCounters resets the counters of all nodes and of the platform to 0.
func (n *Network) ResetCounters() {
	for _, node := range n.Nodes {
		node.Calls, node.Bytes, node.PeakBytes, node.secondBytes = 0, 0, 0, 0
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
