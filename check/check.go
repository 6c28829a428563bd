// Package check examines a configuration offline, before it is published: a ticket, or the
// desired state of the packet roles. What nodes refuse is decided by their own decoders, in
// packages ticket and platform; this package adds what they accept but cannot mean what its
// author wanted: entries that never match, and values that contradict each other.
package check

import (
	"encoding/json"
	"fmt"

	"cactustray/document"
	"cactustray/ticket"
)

// Effect is what a finding means.
type Effect string

const (
	// Refused: nodes refuse the whole document.
	Refused Effect = "refused"
	// Ignored: nodes accept the document, but do not use the value.
	Ignored Effect = "ignored"
	// NeverMatches: the entry has no effect, since no request or flow reaches it.
	NeverMatches Effect = "never_matches"
	// Contradiction: the value contradicts another one.
	Contradiction Effect = "contradiction"
	// NotNewer: nodes keep the version in force.
	NotNewer Effect = "not_newer"
)

// Kind is the kind of a document.
type Kind string

const (
	// Ticket is a ticket of one service.
	Ticket Kind = "ticket"
	// Desired is the desired state of the packet roles.
	Desired Kind = "desired_state"
)

// Finding is one problem of a document.
type Finding struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Effect Effect `json:"effect"`
	Value  string `json:"value,omitempty"`
	// Allowed describes the allowed values, or what is wrong.
	Allowed string `json:"allowed"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s: %q: %s", f.File, f.Line, f.Field, f.Effect, f.Value, f.Allowed)
}

// Result is the result of a check.
type Result struct {
	File     string    `json:"file"`
	Kind     Kind      `json:"kind"`
	Findings []Finding `json:"findings"`
	// Changes are the differences from the version in force.
	Changes []ticket.Change `json:"changes,omitempty"`
	// Compared is true if a version in force was given.
	Compared bool `json:"compared"`
}

// UnreadableError reports a document that is no JSON, or neither a ticket nor a desired
// state.
type UnreadableError struct {
	File  string
	Line  int
	Cause string
}

func (e *UnreadableError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Cause) }

// File is a document with the name that findings show.
type File struct {
	Name string
	Text []byte
}

// Check checks a document and, if inForce is not nil, compares it with the version in
// force. It fails with *UnreadableError.
func Check(next File, inForce *File) (*Result, error) {
	kind, err := kindOf(next)
	if err != nil {
		return nil, err
	}
	r := &report{text: next.Text, lines: document.Lines(next.Text)}
	r.File, r.Kind, r.Findings = next.Name, kind, []Finding{}
	if inForce != nil {
		known, err := kindOf(*inForce)
		if err == nil && known != kind {
			err = &UnreadableError{File: inForce.Name, Line: 1, Cause: "a " + string(known) + ", not a " + string(kind)}
		}
		if err != nil {
			return nil, err
		}
		r.Compared = true
	}
	if kind == Ticket {
		err = r.ticket(inForce)
	} else {
		err = r.desired(inForce)
	}
	if err != nil {
		return nil, err
	}
	return &r.Result, nil
}

// kindOf distinguishes a ticket from a desired state by the keys that only one of them has.
func kindOf(f File) (Kind, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(f.Text, &members); err != nil {
		e := &UnreadableError{File: f.Name, Line: 1, Cause: "no JSON object: " + err.Error()}
		if syntax, ok := err.(*json.SyntaxError); ok {
			e.Line = document.LineAt(f.Text, syntax.Offset)
		}
		return "", e
	}
	_, hasVersion := members["version"]
	_, hasRoutes := members["routes"]
	_, hasNumber := members["number"]
	_, hasService := members["service"]
	switch isDesired, isTicket := hasVersion || hasRoutes, hasNumber || hasService; {
	case isDesired && !isTicket:
		return Desired, nil
	case isTicket && !isDesired:
		return Ticket, nil
	}
	return "", &UnreadableError{File: f.Name, Line: 1, Cause: "neither a ticket (number, service) nor a desired state (version, routes)"}
}

// report collects the findings of one document.
type report struct {
	Result
	text  []byte
	lines map[string]int
}

func (r *report) add(effect Effect, field string, value any, allowed string) {
	line := document.LineOf(r.lines, field)
	r.Findings = append(r.Findings, Finding{File: r.File, Line: line, Field: field, Effect: effect, Value: fmt.Sprint(value), Allowed: allowed})
}

func (r *report) require(ok bool, effect Effect, field string, value any, allowed string) {
	if !ok {
		r.add(effect, field, value, allowed)
	}
}
