package ticket

import (
	"fmt"
	"slices"
	"strings"
)

// Refused is a document, published on the platform or received from a peer,
// that did not come into force.
type Refused struct {
	// Service is the name of the service for which the document was published;
	// empty if a peer sent it.
	Service string
	Cause   error
}

// KeyError reports a ticket published under another service's key.
type KeyError struct{ Key, Service string }

func (e *KeyError) Error() string {
	return fmt.Sprintf("ticket for %q is published under the key of %q", e.Service, e.Key)
}

// OutdatedError reports a published ticket whose number is lower than the one
// in force.
type OutdatedError struct{ Published, InForce Number }

func (e *OutdatedError) Error() string {
	return fmt.Sprintf("ticket %d is published, but %d is in force: publish under a higher number", e.Published, e.InForce)
}

// ConflictError reports a published ticket with the same number as the one in
// force but a different content.
type ConflictError struct {
	Number             Number
	Published, InForce uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("ticket %d is published with content %016x, but content %016x is in force: publish under the next number",
		e.Number, e.Published, e.InForce)
}

// RecordPublished records why published documents did not come into force,
// after the valid ones were joined, and returns the reasons that are new. A
// refusal is removed when the platform no longer publishes its document.
func (r *Register) RecordPublished(update Update) []Refused {
	current := make(map[string]Refused)
	for _, refused := range update.Refused {
		current[refused.Service] = refused
	}
	for _, record := range update.Records {
		if cause := r.refusal(record); cause != nil {
			current[record.Ticket.Service] = Refused{Service: record.Ticket.Service, Cause: cause}
		}
	}
	var fresh []Refused
	for service, refused := range current {
		known, ok := r.refusals[service]
		if !ok || known.Cause.Error() != refused.Cause.Error() {
			fresh = append(fresh, refused)
		}
	}
	r.refusals = current
	sortRefused(fresh)
	return fresh
}

// refusal returns why a published ticket is not in force, or nil if the ticket
// in force does not prevent it.
func (r *Register) refusal(record Record) error {
	entry := r.entries[record.Ticket.Key()]
	switch {
	case entry == nil:
		return nil
	case record.Ticket.Number < entry.Ticket.Number:
		return &OutdatedError{Published: record.Ticket.Number, InForce: entry.Ticket.Number}
	case DigestOf(record).ConflictsWith(DigestOf(entry.Record)):
		return &ConflictError{Number: record.Ticket.Number, Published: record.Content, InForce: entry.Content}
	default:
		return nil
	}
}

// Refusals returns the refused documents that the platform currently publishes,
// sorted by service, including those of services without a ticket.
func (r *Register) Refusals() []Refused {
	list := make([]Refused, 0, len(r.refusals))
	for _, refused := range r.refusals {
		list = append(list, refused)
	}
	sortRefused(list)
	return list
}

func sortRefused(list []Refused) {
	slices.SortFunc(list, func(a, b Refused) int { return strings.Compare(a.Service, b.Service) })
}

// ParsePublished parses the document published under the given key. It fails
// with *KeyError or as Parse does.
func ParsePublished(key string, document []byte, index uint64) (Record, error) {
	record, err := NewRecord(document, index, false)
	if err != nil {
		return Record{}, err
	}
	if record.Ticket.Service != key {
		return Record{}, &KeyError{Key: key, Service: record.Ticket.Service}
	}
	return record, nil
}
