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

// Platform simulates the platform's configuration service.
type Platform struct {
	// Down reports whether the platform is unavailable to a node.
	Down func(*Node) bool
	// Calls is the number of reads, PeakCalls the greatest number within a second.
	Calls, PeakCalls int

	index       uint64
	published   map[string]ticket.Record
	staleCopy   map[string]ticket.Record
	second      int64
	secondCalls int
}

func (p *Platform) init() {
	p.Down = func(*Node) bool { return false }
	p.published = make(map[string]ticket.Record)
}

func (p *Platform) reset() { p.Calls, p.PeakCalls, p.secondCalls = 0, 0, 0 }

// Snapshot returns a copy of all published tickets, and the index, for Restore.
func (p *Platform) Snapshot() (map[string]ticket.Record, uint64) {
	return maps.Clone(p.published), p.index
}

// Restore replaces the published tickets and the index by those of a snapshot.
func (n *Network) Restore(published map[string]ticket.Record, index uint64) {
	n.Platform.published, n.Platform.index = maps.Clone(published), index
	n.wake()
}

// SetStale makes reads return the tickets published so far, or ends that.
func (n *Network) SetStale(stale bool) {
	n.Platform.staleCopy = nil
	if stale {
		n.Platform.staleCopy = maps.Clone(n.Platform.published)
	}
	n.wake()
}

// Publish publishes a ticket and returns it with its index and content hash.
func (n *Network) Publish(t *ticket.Ticket) ticket.Record {
	document, err := json.Marshal(t)
	if err != nil {
		panic(err) // every ticket can be encoded as JSON
	}
	n.Platform.index++
	publishedTicket, err := ticket.NewRecord(document, n.Platform.index, false)
	if err != nil {
		panic(err) // only valid tickets are published here
	}
	n.Platform.published[t.Service] = publishedTicket
	n.wake()
	return publishedTicket
}

// wake ends the watches that are waiting.
func (n *Network) wake() {
	for _, node := range n.Nodes {
		if node.Up && node.mode.Watch && !n.Platform.Down(node) {
			n.scheduleRead(node, platformLatency)
		}
	}
}

// startReading schedules a node's first read after it has changed how it reads the
// platform.
func (n *Network) startReading(node *Node) {
	node.backoff = firstBackoff
	if node.mode.Watch {
		n.scheduleRead(node, platformLatency)
		return
	}
	if node.listed {
		n.scheduleRead(node, n.jitter(node.mode.ListInterval))
		return
	}
	n.scheduleRead(node, time.Duration(n.random.Int64N(int64(firstListWithin))))
}

// scheduleRead schedules a node's next read and cancels the one scheduled before.
func (n *Network) scheduleRead(node *Node, wait time.Duration) {
	node.readSequence++
	generation, read := node.generation, node.readSequence
	n.after(wait, func() {
		if node.generation == generation && node.readSequence == read {
			n.read(node)
		}
	})
}

func (n *Network) read(node *Node) {
	n.Platform.count(n.Now)
	if n.Platform.Down(node) {
		wait := node.backoff
		if !node.mode.Watch {
			wait = node.mode.ListInterval
		}
		node.backoff = min(2*node.backoff, lastBackoff)
		n.scheduleRead(node, n.jitter(wait))
		return
	}
	node.backoff = firstBackoff
	node.State.SetPeers(n.list())
	node.listed = true
	if !node.mode.Watch {
		n.scheduleRead(node, n.jitter(node.mode.ListInterval))
		return
	}
	n.scheduleRead(node, platformWait)
	n.execute(node, node.State.Update(n.Now, n.Platform.update()))
}

func (p *Platform) update() ticket.Update {
	source := p.published
	if p.staleCopy != nil {
		source = p.staleCopy
	}
	update := ticket.Update{Source: ticket.FromPlatform}
	for _, publishedTicket := range source {
		update.Records = append(update.Records, publishedTicket)
	}
	return update
}

func (p *Platform) count(now time.Time) {
	p.Calls++
	if second := now.Unix(); second != p.second {
		p.second, p.secondCalls = second, 0
	}
	p.secondCalls++
	p.PeakCalls = max(p.PeakCalls, p.secondCalls)
}

// list returns the platform's list of VMs. It lags, so stopped nodes stay on it.
func (n *Network) list() []ticket.Peer {
	peers := make([]ticket.Peer, len(n.Nodes))
	for i, node := range n.Nodes {
		peers[i] = node.Peer
	}
	return peers
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (n *Network) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}
