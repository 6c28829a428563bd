package check

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"cactustray/ticket"
)

// ticket checks a ticket.
func (r *report) ticket(inForce *File) error {
	next, err := ticket.NewRecord(r.text, 0, false)
	var invalid *ticket.CheckError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems {
			r.add(Refused, p.Field, p.Value, p.Allowed)
		}
	} else if !next.Ticket.Removed {
		r.adviseTicket(next.Ticket)
	}
	if inForce == nil {
		return nil
	}
	known, knownErr := ticket.NewRecord(inForce.Text, 0, false)
	if knownErr != nil {
		return &UnreadableError{File: inForce.Name, Line: 1, Cause: knownErr.Error()}
	}
	if err != nil {
		return nil
	}
	r.Changes = ticket.Changes(known.Ticket, next.Ticket)
	r.require(next.Ticket.Service == known.Ticket.Service, Contradiction, "service", next.Ticket.Service, "the service of the ticket in force, "+known.Ticket.Service)
	if reason := ticket.NotReplacing(&known, next); reason != "" {
		r.add(NotNewer, "number", next.Ticket.Number, reason)
	}
	return nil
}

func (r *report) adviseTicket(t *ticket.Ticket) {
	r.prefixes("feeds", t.Feeds)
	r.prefixes("idempotent", t.Idempotent)
	for i, prefix := range t.Idempotent {
		r.require(!t.IsFeed(prefix), NeverMatches, fmt.Sprintf("idempotent[%d]", i), prefix, "a prefix outside those in feeds: feeds are not run again")
	}
	draining := !slices.ContainsFunc(t.Endpoints, func(e ticket.Endpoint) bool { return !e.Draining })
	r.require(!draining, Contradiction, "endpoints", "all draining", "an endpoint that accepts new work")
	for i, e := range t.Endpoints {
		for j, other := range t.Endpoints[:i] {
			allowed := fmt.Sprintf("an address other than that of endpoints[%d]", j)
			r.require(e.Datagram != other.Datagram, Contradiction, fmt.Sprintf("endpoints[%d].datagram", i), e.Datagram, allowed)
			r.require(e.Control != other.Control, Contradiction, fmt.Sprintf("endpoints[%d].control", i), e.Control, allowed)
		}
	}
	const millis = 1000
	r.require(uint64(t.Limits.QueueMillis) <= millis*uint64(t.Limits.DrainSeconds), Contradiction, "limits.queue_ms", t.Limits.QueueMillis,
		fmt.Sprintf("at most limits.drain_s (%d s): a drain would end while requests may still be queued", t.Limits.DrainSeconds))
}

// prefixes reports the path prefixes that no request is matched by, or only such as another
// prefix matches too.
func (r *report) prefixes(field string, prefixes []string) {
	for i, prefix := range prefixes {
		at := fmt.Sprintf("%s[%d]", field, i)
		r.require(prefix == "" || strings.HasPrefix(prefix, "/"), NeverMatches, at, prefix, "a prefix that begins with /, as paths do")
		for j, other := range prefixes {
			covered := strings.HasPrefix(prefix, other) && (prefix != other || j < i)
			if j != i && covered {
				r.add(NeverMatches, at, prefix, fmt.Sprintf("a prefix that %s[%d] (%s) does not match already", field, j, other))
				break
			}
		}
	}
}
