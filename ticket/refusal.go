package ticket

import (
	"fmt"
	"slices"
	"strings"
)

// Refused is a published document that did not come into force.
type Refused struct {
	// Service is the service it was published for.
	Service string
	Cause   error
}

// KeyError reports a ticket published under another service's key.
type KeyError struct{ Key, Service string }

func (e *KeyError) Error() string {
	return fmt.Sprintf("ticket for %q is published under the key of %q", e.Service, e.Key)
}

// OlderError reports a published ticket whose number is below the one in force.
type OlderError struct{ Published, InForce Number }

func (e *OlderError) Error() string {
	return fmt.Sprintf("ticket %d is published, but %d is in force: publish under a higher number", e.Published, e.InForce)
}

// RivalError reports a published ticket whose number is in force with another
// content.
type RivalError struct {
	Number             Number
	Published, InForce uint64
}

func (e *RivalError) Error() string {
	return fmt.Sprintf("ticket %d is published with content %016x, but content %016x is in force: publish under the next number",
		e.Number, e.Published, e.InForce)
}

// Published takes in why each published document did not come into force, after
// the valid ones were joined, and returns the reasons not known before. A
// refusal ends when the platform no longer shows its document.
func (r *Register) Published(offered Offered) []Refused {
	current := make(map[string]Refused)
	for _, refused := range offered.Refused {
		current[refused.Service] = refused
	}
	for _, h := range offered.Held {
		if cause := r.refusal(h); cause != nil {
			current[h.Ticket.Service] = Refused{Service: h.Ticket.Service, Cause: cause}
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

func (r *Register) refusal(h Held) error {
	entry := r.entries[h.Ticket.Key()]
	switch {
	case entry == nil:
		return nil
	case h.Ticket.Number < entry.Ticket.Number:
		return &OlderError{Published: h.Ticket.Number, InForce: entry.Ticket.Number}
	case DigestOf(h).IsRival(DigestOf(entry.Held)):
		return &RivalError{Number: h.Ticket.Number, Published: h.Content, InForce: entry.Content}
	default:
		return nil
	}
}

// Refusals returns the refused documents that the platform shows, by service,
// also for services without a ticket.
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

// ParsePublished parses the document of a platform's key. It fails with
// *KeyError or as Parse does.
func ParsePublished(key string, document []byte, index uint64) (Held, error) {
	held, err := NewHeld(document, index, false)
	if err != nil {
		return Held{}, err
	}
	if held.Ticket.Service != key {
		return Held{}, &KeyError{Key: key, Service: held.Ticket.Service}
	}
	return held, nil
}
