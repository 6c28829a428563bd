package spread

import (
	"encoding/json"
	"maps"
	"time"

	"cactustray/ticket"
)

const (
	platformLatency = 5 * time.Millisecond
	platformWait    = 10 * time.Second
	firstBackoff    = 100 * time.Millisecond
	lastBackoff     = 10 * time.Second
	firstListWithin = 3 * time.Second
)

// Platform is the configuration service as its readers see it.
type Platform struct {
	// Down tells whether a node cannot read.
	Down func(*Node) bool
	// Calls is how many reads were made, Busiest the most of one second.
	Calls, Busiest int

	index     uint64
	published map[string]ticket.Held
	frozen    map[string]ticket.Held
	second    int64
	inside    int
}

func (p *Platform) init() {
	p.Down = func(*Node) bool { return false }
	p.published = make(map[string]ticket.Held)
}

func (p *Platform) reset() { p.Calls, p.Busiest, p.inside = 0, 0, 0 }

// Snapshot returns all that is published and the index, for Restore.
func (p *Platform) Snapshot() (map[string]ticket.Held, uint64) {
	return maps.Clone(p.published), p.index
}

// Restore goes back to a snapshot, and its index with it.
func (n *Network) Restore(published map[string]ticket.Held, index uint64) {
	n.Platform.published, n.Platform.index = maps.Clone(published), index
	n.wake()
}

// Freeze makes reads stale from now on, or ends that.
func (n *Network) Freeze(stale bool) {
	n.Platform.frozen = nil
	if stale {
		n.Platform.frozen = maps.Clone(n.Platform.published)
	}
	n.wake()
}

// Publish writes a ticket, as operators do, and returns it as published.
func (n *Network) Publish(t *ticket.Ticket) ticket.Held {
	document, err := json.Marshal(t)
	if err != nil {
		panic(err) // a ticket has nothing that JSON cannot hold
	}
	n.Platform.index++
	held, err := ticket.NewHeld(document, n.Platform.index, false)
	if err != nil {
		panic(err) // the network publishes valid tickets only
	}
	n.Platform.published[t.Service] = held
	n.wake()
	return held
}

// wake answers every waiting watch.
func (n *Network) wake() {
	for _, node := range n.Nodes {
		if node.Up && node.reading.Watch && !n.Platform.Down(node) {
			n.scheduleRead(node, platformLatency)
		}
	}
}

// order begins to read the platform as a node has decided.
func (n *Network) order(node *Node) {
	node.backoff = firstBackoff
	if node.reading.Watch {
		n.scheduleRead(node, platformLatency)
		return
	}
	if node.listed {
		n.scheduleRead(node, n.around(node.reading.ListInterval))
		return
	}
	n.scheduleRead(node, time.Duration(n.random.Int64N(int64(firstListWithin))))
}

// scheduleRead replaces whatever read the node had waiting.
func (n *Network) scheduleRead(node *Node, wait time.Duration) {
	node.reads++
	life, read := node.life, node.reads
	n.after(wait, func() {
		if node.life == life && node.reads == read {
			n.read(node)
		}
	})
}

func (n *Network) read(node *Node) {
	n.Platform.count(n.Now)
	if n.Platform.Down(node) {
		wait := node.backoff
		if !node.reading.Watch {
			wait = node.reading.ListInterval
		}
		node.backoff = min(2*node.backoff, lastBackoff)
		n.scheduleRead(node, n.around(wait))
		return
	}
	node.backoff = firstBackoff
	node.State.Listed(n.list())
	node.listed = true
	if !node.reading.Watch {
		n.scheduleRead(node, n.around(node.reading.ListInterval))
		return
	}
	n.scheduleRead(node, platformWait)
	n.carryOut(node, node.State.Offered(n.Now, n.Platform.offered()))
}

func (p *Platform) offered() ticket.Offered {
	source := p.published
	if p.frozen != nil {
		source = p.frozen
	}
	offered := ticket.Offered{Source: ticket.FromPlatform}
	for _, held := range source {
		offered.Held = append(offered.Held, held)
	}
	return offered
}

func (p *Platform) count(now time.Time) {
	p.Calls++
	if second := now.Unix(); second != p.second {
		p.second, p.inside = second, 0
	}
	p.inside++
	p.Busiest = max(p.Busiest, p.inside)
}

// list is the platform's list of VMs: it lags, so the dead stay on it.
func (n *Network) list() []ticket.Peer {
	peers := make([]ticket.Peer, len(n.Nodes))
	for i, node := range n.Nodes {
		peers[i] = node.Peer
	}
	return peers
}

func (n *Network) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}
