// Package packetnode tells how the nodes of the packet roles stand, by the metrics that
// they serve: these nodes have no control calls for operators.
package packetnode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cactustray/metrics"

	"golang.org/x/sync/errgroup"
)

// maxCalls is how many nodes are asked at once.
const maxCalls = 64

// Role is what a node does, as its metrics show.
type Role string

// Roles.
const (
	Balancer Role = "balancer"
	Agent    Role = "agent"
)

// Node is how one node stands.
type Node struct {
	// Address is where it serves its metrics.
	Address string `json:"address"`
	Role    Role   `json:"role,omitempty"`
	// Version of the desired state in force, and Age of the directory; a balancer's. Age
	// is negative while there is no directory.
	Version int64         `json:"version,omitempty"`
	Age     time.Duration `json:"age,omitempty"`
	// Ready, Draining, Gone and Slow count endpoints as a balancer sees them.
	Ready    int64 `json:"ready,omitempty"`
	Draining int64 `json:"draining,omitempty"`
	Gone     int64 `json:"gone,omitempty"`
	Slow     int64 `json:"slow,omitempty"`
	// Flows are those that a balancer remembers or an endpoint holds, Requests those in
	// progress at an agent's endpoint.
	Flows    int64 `json:"flows"`
	Requests int64 `json:"requests,omitempty"`
	// Resets counts flows ended towards callers, Unplaced packets that no endpoint took.
	Resets   int64 `json:"resets"`
	Unplaced int64 `json:"unplaced"`
	// Failure is why the node did not answer, or empty.
	Failure string `json:"failure,omitempty"`
}

// StatusError reports an answer that is not the metrics.
type StatusError struct{ Code int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Code) }

// Ask asks nodes by the addresses of their metrics, and returns them in that order. A
// node that does not answer is there with its failure.
func Ask(ctx context.Context, client *http.Client, addresses []string) []Node {
	nodes := make([]Node, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, address := range addresses {
		group.Go(func() error {
			node, err := ask(ctx, client, address)
			if err != nil {
				node = Node{Address: address, Failure: err.Error()}
			}
			nodes[i] = node
			return nil
		})
	}
	_ = group.Wait() // failures are in the nodes
	return nodes
}

// instrument is one instrument as the metrics write it.
type instrument struct {
	Value float64 `json:"value"`
}

func ask(ctx context.Context, client *http.Client, address string) (Node, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metrics.Path, nil)
	if err != nil {
		return Node{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Node{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Node{}, &StatusError{Code: response.StatusCode}
	}
	var shown map[string]instrument
	if err := json.NewDecoder(response.Body).Decode(&shown); err != nil {
		return Node{}, err
	}
	return nodeOf(address, shown), nil
}

func nodeOf(address string, shown map[string]instrument) Node {
	value := func(name string) int64 { return int64(shown[name].Value) }
	n := Node{
		Address: address, Role: Agent, Flows: value("flows"), Requests: value("requests"), Resets: value("resets"),
		Unplaced: value("packets.no-endpoint") + value("packets.unknown-address"),
	}
	if _, balancer := shown["directory.age_ms"]; balancer {
		n.Role, n.Version = Balancer, value("directory.version")
		n.Age = time.Duration(value("directory.age_ms")) * time.Millisecond
		n.Ready, n.Draining = value("endpoints.ready"), value("endpoints.draining")
		n.Gone, n.Slow = value("endpoints.gone"), value("endpoints.slow")
	}
	return n
}
