package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cactustray/status/packetnode"
)

// nodesTimeout is the timeout of one metrics request; nodes answer within
// milliseconds.
const nodesTimeout = 3 * time.Second

type nodesCommand struct {
	Addresses []string `arg:"" help:"Metrics addresses of the nodes, IP:port."`
	JSON      bool     `help:"Write JSON." name:"json"`
}

// Help returns the detailed help of the command.
func (*nodesCommand) Help() string {
	return `One line for each node in a packet role, from the node's metrics. VERSION is the version
of the desired state in force, AGE the age of the directory. ENDPOINTS counts endpoints as
the balancer sees them: ready+draining+departed, slow. FLOWS counts the flows in the
balancer's or the agent's flow table, RESETS the flows ended by a reset to the caller, and
UNPLACED the packets for which no endpoint was found. NOTE shows evacuated failure domains.`
}

// Run prints one line for each node.
func (c *nodesCommand) Run(ctx context.Context, out io.Writer) error {
	client := &http.Client{Timeout: nodesTimeout}
	nodes := packetnode.QueryNodes(ctx, client, c.Addresses)
	if c.JSON {
		return writeJSON(out, nodes)
	}
	if err := writeNodes(out, nodes); err != nil {
		return err
	}
	for _, n := range nodes {
		if n.Failure == "" {
			return nil
		}
	}
	return &NoAnswerError{Nodes: c.Addresses}
}

func writeNodes(out io.Writer, nodes []packetnode.Node) error {
	table := newTable(out, "NODE\tROLE\tVERSION\tAGE\tENDPOINTS\tFLOWS\tREQUESTS\tRESETS\tUNPLACED\tNOTE")
	for _, n := range nodes {
		fmt.Fprintln(table, strings.Join(nodeColumns(n), "\t"))
	}
	return table.Flush()
}

func nodeColumns(n packetnode.Node) []string {
	if n.Failure != "" {
		return []string{n.Address, absent, absent, absent, absent, absent, absent, absent, absent, n.Failure}
	}
	version, age, endpoints, note := absent, absent, absent, absent
	if n.Role == packetnode.Balancer {
		version, age = fmt.Sprint(n.Version), n.Age.String()
		endpoints = fmt.Sprintf("%d+%d+%d, %d slow", n.Ready, n.Draining, n.Gone, n.Slow)
		if n.Evacuations > 0 {
			note = fmt.Sprintf("%d domains evacuated: %d endpoints, %d flows left", n.Evacuations, n.EvacuatedEndpoints, n.EvacuatedFlows)
		}
		if n.Age < 0 {
			version, age, note = absent, absent, "no directory yet"
		}
	}
	if n.Evacuated {
		note = "evacuated"
	}
	return []string{
		n.Address, string(n.Role), version, age, endpoints,
		fmt.Sprint(n.Flows), fmt.Sprint(n.Requests), fmt.Sprint(n.Resets), fmt.Sprint(n.Unplaced), note,
	}
}
