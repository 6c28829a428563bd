package main

import (
	"fmt"

	"cactustray/status"
	"cactustray/ticket"
)

// statusLine is one line of `status --json`.
type statusLine struct {
	Node           string        `json:"node"`
	Address        string        `json:"address"`
	Role           string        `json:"role,omitempty"`
	Zone           string        `json:"zone,omitempty"`
	State          string        `json:"state"`
	Failure        string        `json:"failure,omitempty"`
	Service        string        `json:"service,omitempty"`
	Ticket         ticket.Number `json:"ticket,omitempty"`
	AgeMillis      int64         `json:"age_ms,omitempty"`
	Accepted       bool          `json:"accepted"`
	Behind         bool          `json:"behind"`
	Conflicting    bool          `json:"rival"`
	Conflicts      int           `json:"conflicts"`
	Refused        string        `json:"refused,omitempty"`
	BytesPerSecond float64       `json:"control_bytes_per_second"`
	CoreShare      float64       `json:"control_core_share"`
}

func statusDocument(lines []status.Line) []statusLine {
	document := make([]statusLine, len(lines))
	for i, line := range lines {
		document[i] = statusLineOf(line)
	}
	return document
}

func statusLineOf(line status.Line) statusLine {
	result := statusLine{Node: line.Answer.Name(), Address: line.Answer.Address, Role: line.Answer.Known.Role}
	report := line.Answer.Report
	if report == nil {
		result.State = "unreachable"
		result.Failure = fmt.Sprint(line.Answer.Failure)
		return result
	}
	result.Role = report.Role
	result.Zone = report.Zone
	result.State = report.State
	result.Service = line.Service
	result.Ticket = line.Number
	result.AgeMillis = line.Age.Milliseconds()
	result.Accepted = line.Sealed
	result.Behind = line.Behind
	result.Conflicting = line.Conflicting
	result.Conflicts = line.Conflicts
	result.Refused = line.Refused
	result.BytesPerSecond = report.Cost.BytesPerSecond
	result.CoreShare = report.Cost.CoreShare
	return result
}

// flowsLine is one line of `flows --json`.
type flowsLine struct {
	Node      string `json:"node"`
	Address   string `json:"address"`
	Service   string `json:"service"`
	Reachable bool   `json:"reachable"`
	Flows     int64  `json:"flows"`
	Requests  int64  `json:"requests"`
	Queued    int64  `json:"queued"`
}

func flowsDocument(answers []status.Answer) []flowsLine {
	document := make([]flowsLine, len(answers))
	for i, a := range answers {
		document[i] = flowsLine{Node: a.Name(), Address: a.Address, Service: a.Service()}
		if a.Report == nil {
			continue
		}
		document[i].Reachable = true
		document[i].Flows = a.Report.Load.Flows
		document[i].Requests = a.Report.Load.Requests
		document[i].Queued = a.Report.Load.Queued
	}
	return document
}

// waitingNode is a node on which a submitted ticket is not yet in force and
// accepted.
type waitingNode struct {
	Node   string `json:"node"`
	Reason string `json:"reason"`
}

func waitingNodes(progress status.Progress) []waitingNode {
	var nodes []waitingNode
	for _, n := range progress.Waiting() {
		nodes = append(nodes, waitingNode{Node: n.Node, Reason: n.Reason})
	}
	return nodes
}
