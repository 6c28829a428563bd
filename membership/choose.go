package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Choose returns up to count nodes for the process named key, by rendezvous hashing
// and round-robin over the zones: any prefix of the result covers as many zones as
// it can, and a change of the nodes changes no more of the result than it must.
// Every process with the same nodes gets the same result.
func Choose(key string, nodes []Node, count int) []Node {
	var rounds [][]int
	taken := make(map[string]int)
	for _, i := range rank(key, nodes) {
		round := taken[nodes[i].Zone]
		taken[nodes[i].Zone]++
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], i)
	}
	chosen := make([]Node, 0, min(count, len(nodes)))
	for _, i := range slices.Concat(rounds...) {
		if len(chosen) == count {
			break
		}
		chosen = append(chosen, nodes[i])
	}
	return chosen
}

type scored struct {
	index int
	score uint64
}

// rank returns the nodes' indexes ordered by the hash of key and name, the lowest
// hash first.
func rank(key string, nodes []Node) []int {
	list := make([]scored, len(nodes))
	for i, node := range nodes {
		list[i] = scored{index: i, score: xxhash.Sum64String(key + "\x00" + node.Name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(nodes[a.index].Name, nodes[b.index].Name))
	})
	ranked := make([]int, len(list))
	for i, s := range list {
		ranked[i] = s.index
	}
	return ranked
}

// Successors returns the nodes that follow self on each of a number of hash rings, a
// different one per ring; there are fewer if there are fewer other nodes. A node is
// the successor of about as many nodes as it has successors, and what each node
// forwards to its successors reaches all.
func Successors(self string, nodes []Node, rings int) []Node {
	var chosen []Node
	for ring := range rings {
		if next, ok := successor(self, nodes, ring, chosen); ok {
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// successor returns the node that follows self on one ring, leaving out those in
// except; ok is false if there is none.
func successor(self string, nodes []Node, ring int, except []Node) (next Node, ok bool) {
	start := position(self, ring)
	var nearest uint64
	for _, node := range nodes {
		if node.Name == self || slices.Contains(except, node) {
			continue
		}
		distance := position(node.Name, ring) - start
		if !ok || distance < nearest {
			next, nearest, ok = node, distance, true
		}
	}
	return next, ok
}

// position returns the hash that is a node's position on a ring.
func position(name string, ring int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + name)
}
