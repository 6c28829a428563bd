package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"cactustray/membership"
	"cactustray/ticket"
)

// parser parses published documents and caches the results: a watch returns all
// documents whenever one changes, so an unchanged document is parsed only once.
type parser struct{ known map[string]parsed }

type parsed struct {
	pair   Pair
	record ticket.Record
	err    error
}

// tickets returns everything published under the ticket prefix.
func (p *parser) tickets(prefix string, pairs []Pair) ticket.Update {
	update := ticket.Update{Source: ticket.FromPlatform}
	known := make(map[string]parsed, len(pairs))
	for _, pair := range pairs {
		service, ok := strings.CutPrefix(pair.Key, prefix+TicketPrefix)
		if !ok {
			continue
		}
		result := p.parse(service, pair)
		known[pair.Key] = result
		if result.err != nil {
			update.Refused = append(update.Refused, ticket.Refused{Service: service, Cause: result.err})
			continue
		}
		update.Records = append(update.Records, result.record)
	}
	p.known = known
	return update
}

func (p *parser) parse(service string, pair Pair) parsed {
	known, ok := p.known[pair.Key]
	if ok && known.pair.ModifyIndex == pair.ModifyIndex && bytes.Equal(known.pair.Value, pair.Value) {
		return known
	}
	record, err := ticket.ParsePublished(service, pair.Value, pair.ModifyIndex)
	return parsed{pair: pair, record: record, err: err}
}

// VMError is returned for an entry of the list of VMs that cannot be read.
type VMError struct {
	// Position is the entry's position in the list, from 0.
	Position int
	Cause    error
}

func (e *VMError) Error() string {
	return fmt.Sprintf("entry %d of the list of VMs: %v", e.Position, e.Cause)
}

// Unwrap returns the cause.
func (e *VMError) Unwrap() error { return e.Cause }

// NoNameError is returned for an entry without a name.
type NoNameError struct{}

func (*NoNameError) Error() string { return "no name" }

// parseVMs reads the list of VMs. Entries that cannot be read are refused alone.
func parseVMs(document []byte) membership.NodeList {
	var entries []json.RawMessage
	if err := json.Unmarshal(document, &entries); err != nil {
		return membership.NodeList{Err: err}
	}
	list := membership.NodeList{}
	for i, entry := range entries {
		var vm VM
		err := json.Unmarshal(entry, &vm)
		if err == nil && vm.Name == "" {
			err = &NoNameError{}
		}
		if err != nil {
			list.Refused = append(list.Refused, &VMError{Position: i, Cause: err})
			continue
		}
		list.Nodes = append(list.Nodes, membership.Node(vm))
	}
	return list
}
