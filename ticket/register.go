package ticket

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SealAfter is how long a ticket is in force on a node, without a rival of the
// same number, until the node counts it as accepted.
const SealAfter = 2 * time.Second

// Held is one ticket with its place in the register's order.
type Held struct {
	Ticket *Ticket
	// Document is the JSON text as published.
	Document []byte
	// Index is the platform's modify index of the publication.
	Index uint64
	// Content is the hash of Document.
	Content uint64
	// Sealed tells that the ticket was accepted on some node.
	Sealed bool
}

// NewHeld parses a published document. It fails as Parse does.
func NewHeld(document []byte, index uint64, sealed bool) (Held, error) {
	t, err := Parse(document)
	if err != nil {
		return Held{}, err
	}
	return Held{Ticket: t, Document: document, Index: index, Content: xxhash.Sum64(document), Sealed: sealed}, nil
}

// Compare orders two tickets of one service; the greater one is in force. The
// order is total, so joining by it is commutative, associative and idempotent:
// a higher number wins; under one number an accepted ticket, then the earlier
// publication, then the greater content hash.
func Compare(a, b Held) int { return DigestOf(a).Compare(DigestOf(b)) }

// Outcome is what joining one ticket did.
type Outcome int

const (
	// Unchanged: the ticket was already held.
	Unchanged Outcome = iota
	// Older: a ticket with a higher number is in force.
	Older
	// InForce: the ticket is now in force.
	InForce
	// Conflict: another content has the same number; the order settled it.
	Conflict
)

// Entry is the register's state for one service.
type Entry struct {
	Held
	// Since is when the ticket came into force here.
	Since time.Time
	// Conflicts counts other contents seen under the number in force.
	Conflicts int
	// Refused is why the last refused ticket was refused, or empty.
	Refused string
}

// Register holds the ticket in force for every service. The control goroutine
// owns it; it is not safe for concurrent use.
type Register struct {
	entries map[ServiceKey]*Entry
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{entries: make(map[ServiceKey]*Entry)}
}

// Join takes a ticket in and returns what that did.
func (r *Register) Join(now time.Time, h Held) Outcome {
	key := h.Ticket.Key()
	entry := r.entries[key]
	if entry == nil {
		r.entries[key] = &Entry{Held: h, Since: now}
		return InForce
	}
	if h.Ticket.Number == entry.Ticket.Number && h.Content != entry.Content {
		entry.Conflicts++
		if Compare(h, entry.Held) > 0 {
			entry.Held = h
			entry.Since = now
		}
		return Conflict
	}
	order := Compare(h, entry.Held)
	if order == 0 {
		return Unchanged
	}
	if order < 0 {
		return Older
	}
	if h.Content == entry.Content && h.Ticket.Number == entry.Ticket.Number {
		entry.Held = h
		return Unchanged
	}
	r.entries[key] = &Entry{Held: h, Since: now}
	return InForce
}

// Seal marks as accepted what has been in force for SealAfter, and returns how
// many tickets that were.
func (r *Register) Seal(now time.Time) int {
	sealed := 0
	for _, entry := range r.entries {
		if !entry.Sealed && now.Sub(entry.Since) >= SealAfter {
			entry.Sealed = true
			sealed++
		}
	}
	return sealed
}

// Entry returns the state for a service, or nil.
func (r *Register) Entry(key ServiceKey) *Entry { return r.entries[key] }

// Len returns how many services have a ticket, removed ones included.
func (r *Register) Len() int { return len(r.entries) }

// Each calls f with every entry, in no order.
func (r *Register) Each(f func(ServiceKey, *Entry)) {
	for key, entry := range r.entries {
		f(key, entry)
	}
}
