package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Choose returns up to count nodes for the process named key by rendezvous
// hashing, in turn from every zone: any run of the first ones stands in as
// many zones as there are, and a change of the nodes moves only the choices it
// must. Every process with the same nodes chooses the same.
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

// rank returns the nodes' indexes by the hash of key and name, the lowest
// first.
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

// Successors returns the node that follows self in each of a number of hash
// rings. Over all nodes every node is followed, and follows, as often as there
// are rings, and what each passes to its successors reaches all.
func Successors(self string, nodes []Node, rings int) []Node {
	var chosen []Node
	for ring := range rings {
		if next, ok := successor(self, nodes, ring, chosen); ok {
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// successor returns the node with the smallest distance ahead on one ring.
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

func position(name string, ring int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + name)
}
