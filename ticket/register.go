package ticket

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SealAfter is how long a ticket must be in force on a node before a
	// comparison with a peer can seal it. A conflicting ticket that arrives
	// within that time can still replace it. A sealed ticket is final: no
	// unsealed ticket with the same number replaces it.
	SealAfter = 2 * time.Second
	// AcceptAfter is how long a ticket must be sealed on a node before it
	// counts as accepted: by then every reachable node has received its seal.
	AcceptAfter = 3 * time.Second
	// maxConflicting bounds how many conflicting contents are recorded for the
	// number in force.
	maxConflicting = 8
)

// Record is a ticket together with what determines its rank in the register's
// order.
type Record struct {
	Ticket *Ticket
	// Document is the JSON text as published.
	Document []byte
	// Index is the platform's modify index of the publication.
	Index uint64
	// Content is the hash of Document.
	Content uint64
	// Sealed is true if some node has made the ticket final: no unsealed ticket
	// with the same number replaces it.
	Sealed bool
}

// NewRecord parses a published document. It fails as Parse does.
func NewRecord(document []byte, index uint64, sealed bool) (Record, error) {
	t, err := Parse(document)
	if err != nil {
		return Record{}, err
	}
	return Record{Ticket: t, Document: document, Index: index, Content: xxhash.Sum64(document), Sealed: sealed}, nil
}

// Outcome is the effect of joining one ticket or digest.
type Outcome int

const (
	// Unchanged: the ticket, or the conflicting one, was already known.
	Unchanged Outcome = iota
	// Older: a ticket with a higher number is in force.
	Older
	// InForce: the ticket is now in force.
	InForce
	// NowSealed: the ticket in force was sealed on another node and is now
	// sealed on this one too.
	NowSealed
	// ConflictLost: a new conflicting ticket with the number in force was
	// recorded; the one in force stays.
	ConflictLost
	// ConflictWon: a conflicting ticket with the number in force replaced it.
	ConflictWon
)

// Changed reports whether another document came into force.
func (o Outcome) Changed() bool { return o == InForce || o == ConflictWon }

// IsConflict reports whether a new conflicting ticket was recorded.
func (o Outcome) IsConflict() bool { return o == ConflictLost || o == ConflictWon }

// Entry is the register's state for one service.
type Entry struct {
	Record
	// Since is when the ticket came into force on this node.
	Since time.Time
	// SealedSince is when this node sealed the ticket or received the seal of
	// another node. It has no meaning while the ticket is not sealed.
	SealedSince time.Time
	// Conflicting are the other contents received with the number in force,
	// each once.
	Conflicting []Digest
}

// Accepted reports whether the ticket is accepted: from then on no ticket with
// the same number replaces it on this node, except one that was accepted on
// nodes that could not be reached.
func (e *Entry) Accepted(now time.Time) bool {
	return e.Sealed && now.Sub(e.SealedSince) >= AcceptAfter
}

// Conflicts returns how many other contents were received with the number in
// force, at most maxConflicting.
func (e *Entry) Conflicts() int { return len(e.Conflicting) }

// Register stores the ticket in force for every service, including removed
// ones. The number in force for a service never decreases, and a ticket sealed
// on this node is replaced by one with the same number only if that one was
// sealed on another node. The control goroutine owns it; it is not safe for
// concurrent use.
type Register struct {
	entries  map[ServiceKey]*Entry
	sums     [Buckets]uint64
	refusals map[string]Refused
	// claims are the live services that claim each address; contested are the
	// addresses that several services claim.
	claims    map[netip.AddrPort][]ServiceKey
	contested map[netip.AddrPort]bool
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		entries:   make(map[ServiceKey]*Entry),
		refusals:  make(map[string]Refused),
		claims:    make(map[netip.AddrPort][]ServiceKey),
		contested: make(map[netip.AddrPort]bool),
	}
}

// Join adds a ticket to the register and returns the outcome.
func (r *Register) Join(now time.Time, record Record) Outcome {
	digest := DigestOf(record)
	entry := r.entries[digest.Service]
	if entry == nil {
		r.put(now, record)
		return InForce
	}
	current := DigestOf(entry.Record)
	switch {
	case digest.Number < current.Number:
		return Older
	case digest.Number > current.Number:
		r.put(now, record)
		return InForce
	case digest.Content == current.Content:
		return r.raiseRank(now, entry, digest)
	case digest.Compare(current) < 0:
		return entry.addConflicting(digest)
	default:
		r.replace(now, entry, record)
		return ConflictWon
	}
}

// JoinDigest applies a digest without its document: it raises the rank of the
// document in force, or records a conflicting ticket that ranks lower. A digest
// that needs its document is ignored.
func (r *Register) JoinDigest(now time.Time, d Digest) Outcome {
	entry := r.entries[d.Service]
	if entry == nil {
		return Unchanged
	}
	current := DigestOf(entry.Record)
	if d.SameTicket(current) {
		return r.raiseRank(now, entry, d)
	}
	if d.ConflictsWith(current) && d.Compare(current) < 0 {
		return entry.addConflicting(d)
	}
	return Unchanged
}

func (r *Register) put(now time.Time, record Record) {
	key := record.Ticket.Key()
	if entry := r.entries[key]; entry != nil {
		r.subtract(DigestOf(entry.Record))
		r.unclaim(entry.Ticket)
	}
	r.entries[key] = &Entry{Record: record, Since: now, SealedSince: now}
	r.sum(DigestOf(record))
	r.claim(record.Ticket)
}

// raiseRank updates index and seal of the document in force if the digest ranks
// it higher.
func (r *Register) raiseRank(now time.Time, entry *Entry, d Digest) Outcome {
	current := DigestOf(entry.Record)
	if d.Compare(current) <= 0 {
		return Unchanged
	}
	r.subtract(current)
	entry.Index, entry.Sealed = d.Index, d.Sealed
	r.sum(d)
	if current.Sealed {
		return Unchanged
	}
	entry.SealedSince = now
	if d.Sealed {
		return NowSealed
	}
	return Unchanged
}

func (r *Register) replace(now time.Time, entry *Entry, record Record) {
	displaced := DigestOf(entry.Record)
	conflicting := entry.Conflicting
	r.put(now, record)
	current := r.entries[displaced.Service]
	current.addConflicting(displaced)
	for _, digest := range conflicting {
		current.addConflicting(digest)
	}
}

func (e *Entry) addConflicting(d Digest) Outcome {
	if d.Content == e.Content || len(e.Conflicting) == maxConflicting {
		return Unchanged
	}
	for _, known := range e.Conflicting {
		if known.Content == d.Content {
			return Unchanged
		}
	}
	e.Conflicting = append(e.Conflicting, d)
	return ConflictLost
}

// Confirmation says when the register was last confirmed by a peer or, without
// one, by the platform.
type Confirmation struct {
	At time.Time
	// Isolated is true if no peer is known or responds, so that the platform
	// alone has to confirm the register.
	Isolated bool
}

// Seal seals the tickets that have been in force for SealAfter and were
// confirmed at least SealAfter after they came into force. An isolated node
// does not seal a ticket if the platform publishes a different document for its
// service. It returns the services that it sealed.
func (r *Register) Seal(now time.Time, confirmed Confirmation) []ServiceKey {
	var sealed []ServiceKey
	for key, entry := range r.entries {
		if _, isRefused := r.refusals[entry.Ticket.Service]; isRefused && confirmed.Isolated {
			continue
		}
		since := min(now.Sub(entry.Since), confirmed.At.Sub(entry.Since))
		if !entry.Sealed && since >= SealAfter {
			entry.Sealed, entry.SealedSince = true, now
			sealed = append(sealed, key)
		}
	}
	return sealed
}

// Entry returns the state for a service, or nil if it has no ticket.
func (r *Register) Entry(key ServiceKey) *Entry { return r.entries[key] }

// Len returns how many services have a ticket, including removed ones.
func (r *Register) Len() int { return len(r.entries) }

// Each calls f with every entry, in no particular order.
func (r *Register) Each(f func(ServiceKey, *Entry)) {
	for key, entry := range r.entries {
		f(key, entry)
	}
}
