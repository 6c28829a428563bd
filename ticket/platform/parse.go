package platform

import (
	"bytes"
	"encoding/json"
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

func parseVMs(document []byte) membership.NodeList {
	var vms []VM
	if err := json.Unmarshal(document, &vms); err != nil {
		return membership.NodeList{Err: err}
	}
	list := membership.NodeList{}
	for _, vm := range vms {
		list.Nodes = append(list.Nodes, membership.Node(vm))
	}
	return list
}
