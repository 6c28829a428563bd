package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router stands in for the platform's routers, hash mode steady: only the flows of a node that
// joins or leaves move.
type router struct {
	mu       sync.Mutex
	nodes    []netip.AddrPort
	misses   map[netip.AddrPort]int
	rotation map[netip.AddrPort]bool
}

// newRouter probes the ready address of each node twice a second; after two misses the node is out
// of rotation until it answers with 200 again.
func newRouter(nodes, ready []netip.AddrPort) *router {
	r := &router{nodes: nodes, misses: make(map[netip.AddrPort]int), rotation: make(map[netip.AddrPort]bool)}
	for i, node := range nodes {
		go r.probe(node, ready[i])
	}
	return r
}

func (r *router) probe(node, ready netip.AddrPort) {
	probing := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := probing.Get("http://" + ready.String() + "/healthz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if ok {
			r.misses[node], r.rotation[node] = 0, true
		} else if r.misses[node]++; r.misses[node] >= 2 {
			r.rotation[node] = false
		}
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) inRotation() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range r.rotation {
		if in {
			n++
		}
	}
	return n
}

// nodeOf returns the node to which the packets of a flow go now.
func (r *router) nodeOf(key flowKey) (best netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := 0
	for _, rotates := range r.rotation {
		if rotates {
			in++
		}
	}
	var highest uint64
	for _, node := range r.nodes {
		if 2*in >= len(r.nodes) && !r.rotation[node] {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(node.String() + key.client.String() + key.route.String()))
		score := h.Sum64()
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		score ^= score >> 32
		if !best.IsValid() || score > highest {
			best, highest = node, score
		}
	}
	return best
}

func (r *router) send(socket *net.UDPConn, key flowKey, datagram []byte) {
	_, _ = socket.WriteToUDPAddrPort(datagram, r.nodeOf(key))
}
