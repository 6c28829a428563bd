package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func nodes(count, zones int) []Node {
	var list []Node
	for i := range count {
		list = append(list, Node{Name: fmt.Sprintf("entry-%d", i), Role: RoleBalancer, Zone: fmt.Sprint(i % zones)})
	}
	return list
}

// Every process chooses the same nodes, evenly from all zones, and a node that
// departs changes only one of the choices.
func TestChooseSpreadsOverZones(t *testing.T) {
	list := nodes(100, 4)
	chosen := Choose("orders-1", list, 12)
	shuffled := slices.Clone(list)
	slices.Reverse(shuffled)
	must.Eq(t, chosen, Choose("orders-1", shuffled, 12))
	perZone := make(map[string]int)
	for _, node := range chosen {
		perZone[node.Zone]++
	}
	must.Eq(t, map[string]int{"0": 3, "1": 3, "2": 3, "3": 3}, perZone)
	departed := chosen[5]
	rest := slices.DeleteFunc(list, func(n Node) bool { return n == departed })
	unchanged := 0
	for _, node := range Choose("orders-1", rest, 12) {
		if slices.Contains(chosen, node) {
			unchanged++
		}
	}
	must.EqOp(t, 11, unchanged)
	must.SliceLen(t, 1, Choose("orders-1", nodes(1, 1), 12))
}

// What every node forwards to its successors reaches all nodes in few steps.
func TestSuccessorsReachAllNodes(t *testing.T) {
	const rings = 3
	for _, count := range []int{1, 2, 3, 10, 400} {
		list := nodes(count, 4)
		steps := reach(list, rings)
		must.LessEq(t, 15, steps, must.Sprintf("%d nodes", count))
	}
}

// reach returns the number of steps in which an announcement of the first node
// reaches all nodes.
func reach(list []Node, rings int) int {
	known := map[string]bool{list[0].Name: true}
	frontier := list[:1]
	steps := 0
	for len(known) < len(list) {
		var next []Node
		for _, node := range frontier {
			for _, to := range Successors(node.Name, list, rings) {
				if !known[to.Name] {
					known[to.Name] = true
					next = append(next, to)
				}
			}
		}
		if len(next) == 0 {
			return len(list)
		}
		frontier = next
		steps++
	}
	return steps
}

func TestSelfIsABalancerBeforeItIsListed(t *testing.T) {
	s := NewState()
	s.SetSelf(Node{Name: "entry-9", Role: RoleBalancer})
	must.SliceLen(t, 1, s.Balancers())
	s.SetList(NodeList{Nodes: append(nodes(2, 1), Node{Name: "orders-1", Role: RoleAgent, Leaving: true})})
	must.SliceLen(t, 3, s.Balancers())
	must.True(t, s.Leaving("orders-1"))
	s.SetList(NodeList{Err: &testError{}})
	must.SliceLen(t, 3, s.Balancers())
}

type testError struct{}

func (*testError) Error() string { return "refused" }
