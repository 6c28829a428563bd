// Package packetnode gets the status of nodes in the packet roles from their metrics,
// because these nodes have no RPC service for operators.
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

// maxCalls is the maximum number of concurrent requests.
const maxCalls = 64

// Role is the role of a node, recognised by its metrics.
type Role string

// The roles of nodes that serve these metrics.
const (
	Balancer Role = "balancer"
	Agent    Role = "agent"
)

// Node is the status of one node.
type Node struct {
	// Address is the address where the node serves its metrics.
	Address string `json:"address"`
	Role    Role   `json:"role,omitempty"`
	// Version is the version of the desired state in force, and Age the age of the
	// directory, both on balancers only. Age is negative while there is no directory.
	Version int64         `json:"version,omitempty"`
	Age     time.Duration `json:"age,omitempty"`
	// Ready, Draining, Gone and Slow count the ready, draining, departed and slow
	// endpoints as a balancer sees them.
	Ready    int64 `json:"ready,omitempty"`
	Draining int64 `json:"draining,omitempty"`
	Gone     int64 `json:"gone,omitempty"`
	Slow     int64 `json:"slow,omitempty"`
	// Flows is the number of flows in the flow table of the balancer or agent. Requests
	// is the number of requests in progress at an agent's endpoint.
	Flows    int64 `json:"flows"`
	Requests int64 `json:"requests,omitempty"`
	// Resets counts flows ended by a reset to the caller, Unplaced packets for which no
	// endpoint was found.
	Resets   int64 `json:"resets"`
	Unplaced int64 `json:"unplaced"`
	// Evacuations counts the failure domains that a balancer knows to be evacuated,
	// EvacuatedEndpoints and EvacuatedFlows what is left there; Evacuated is true for an
	// agent in such a domain.
	Evacuations        int64 `json:"evacuations,omitempty"`
	EvacuatedEndpoints int64 `json:"evacuated_endpoints,omitempty"`
	EvacuatedFlows     int64 `json:"evacuated_flows,omitempty"`
	Evacuated          bool  `json:"evacuated,omitempty"`
	// Failure is why the node did not answer, or empty.
	Failure string `json:"failure,omitempty"`
}

// StatusError reports an HTTP status other than 200.
type StatusError struct{ Code int }

func (e *StatusError) Error() string { return fmt.Sprintf("answered with status %d", e.Code) }

// QueryNodes requests the metrics at the given addresses and returns the nodes in the
// same order. A node that did not answer is included with its failure.
func QueryNodes(ctx context.Context, client *http.Client, addresses []string) []Node {
	nodes := make([]Node, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, address := range addresses {
		group.Go(func() error {
			node, err := fetchNode(ctx, client, address)
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

// instrument is one instrument in the JSON format of the metrics.
type instrument struct {
	Value float64 `json:"value"`
}

func fetchNode(ctx context.Context, client *http.Client, address string) (Node, error) {
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
	var instruments map[string]instrument
	if err := json.NewDecoder(response.Body).Decode(&instruments); err != nil {
		return Node{}, err
	}
	return nodeOf(address, instruments), nil
}

// nodeOf returns the status of a node with the given instruments. Only balancers have
// the age of the directory.
func nodeOf(address string, instruments map[string]instrument) Node {
	value := func(name string) int64 { return int64(instruments[name].Value) }
	n := Node{
		Address: address, Role: Agent, Flows: value("flows"), Requests: value("requests"), Resets: value("resets"),
		Unplaced:  value("packets.no-endpoint") + value("packets.unknown-address"),
		Evacuated: value("evacuated") > 0,
	}
	if _, balancer := instruments["directory.age_ms"]; balancer {
		n.Role, n.Version = Balancer, value("directory.version")
		n.Age = time.Duration(value("directory.age_ms")) * time.Millisecond
		n.Ready, n.Draining = value("endpoints.ready"), value("endpoints.draining")
		n.Gone, n.Slow = value("endpoints.gone"), value("endpoints.slow")
		n.Evacuations, n.EvacuatedEndpoints, n.EvacuatedFlows = value("evacuations"), value("endpoints.evacuated"), value("flows.evacuated")
	}
	return n
}
