package ticket

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SealAfter is how long a ticket is in force on a node, without a rival
	// of the same number, until a comparison with a peer can seal it.
	SealAfter = 2 * time.Second
	// AcceptAfter is how long a ticket is sealed on a node until it counts as
	// accepted: every node within reach has learned by then that it is sealed.
	AcceptAfter = 3 * time.Second
	// maxRivals bounds the contents remembered beside the one in force.
	maxRivals = 8
)

// Held is one ticket with its place in the register's order.
type Held struct {
	Ticket *Ticket
	// Document is the JSON text as published.
	Document []byte
	// Index is the platform's modify index of the publication.
	Index uint64
	// Content is the hash of Document.
	Content uint64
	// Sealed tells that some node holds the ticket fast against rivals of
	// the same number.
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

// Outcome is what joining one ticket did.
type Outcome int

const (
	// Unchanged: the ticket, or the rival, was already known.
	Unchanged Outcome = iota
	// Older: a ticket with a higher number is in force.
	Older
	// InForce: the ticket is now in force.
	InForce
	// NowSealed: the ticket in force is newly known to be sealed.
	NowSealed
	// RivalLost: another content under the number in force is newly known;
	// the one in force stays.
	RivalLost
	// RivalWon: another content under the number in force replaced it.
	RivalWon
)

// Changed tells whether another document came into force.
func (o Outcome) Changed() bool { return o == InForce || o == RivalWon }

// IsConflict tells whether a rival is newly known.
func (o Outcome) IsConflict() bool { return o == RivalLost || o == RivalWon }

// Entry is the register's state for one service.
type Entry struct {
	Held
	// Since is when the ticket came into force here.
	Since time.Time
	// SealedSince is when the ticket was sealed here, or learned to be.
	SealedSince time.Time
	// Rivals are the other contents seen under the number in force, each
	// once.
	Rivals []Digest
}

// Accepted tells whether the ticket is accepted: from then on no rival of the
// same number takes its place here, except one accepted out of reach.
func (e *Entry) Accepted(now time.Time) bool {
	return e.Sealed && now.Sub(e.SealedSince) >= AcceptAfter
}

// Conflicts returns how many other contents were seen under the number in
// force.
func (e *Entry) Conflicts() int { return len(e.Rivals) }

// Register holds the ticket in force for every service, removed ones included.
// The number in force for a service never falls, and under one number a ticket
// sealed here gives way only to one sealed elsewhere. The control goroutine
// owns it; it is not safe for concurrent use.
type Register struct {
	entries  map[ServiceKey]*Entry
	sums     [Buckets]uint64
	refusals map[string]Refused
	// claims are the live services that name each address, contested the
	// addresses that several name.
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

// Join takes a ticket in and returns what that did.
func (r *Register) Join(now time.Time, h Held) Outcome {
	digest := DigestOf(h)
	entry := r.entries[digest.Service]
	if entry == nil {
		r.put(now, h)
		return InForce
	}
	current := DigestOf(entry.Held)
	switch {
	case digest.Number < current.Number:
		return Older
	case digest.Number > current.Number:
		r.put(now, h)
		return InForce
	case digest.Content == current.Content:
		return r.raise(now, entry, digest)
	case digest.Compare(current) < 0:
		return entry.addRival(digest)
	default:
		r.replace(now, entry, h)
		return RivalWon
	}
}

// Learn takes in what a digest alone tells: the better place in the order of
// the document in force, or a rival that lost.
func (r *Register) Learn(now time.Time, d Digest) Outcome {
	entry := r.entries[d.Service]
	if entry == nil {
		return Unchanged
	}
	current := DigestOf(entry.Held)
	if d.SameTicket(current) {
		return r.raise(now, entry, d)
	}
	if d.IsRival(current) && d.Compare(current) < 0 {
		return entry.addRival(d)
	}
	return Unchanged
}

func (r *Register) put(now time.Time, h Held) {
	key := h.Ticket.Key()
	if entry := r.entries[key]; entry != nil {
		r.unsum(DigestOf(entry.Held))
		r.unclaim(entry.Ticket)
	}
	r.entries[key] = &Entry{Held: h, Since: now, SealedSince: now}
	r.sum(DigestOf(h))
	r.claim(h.Ticket)
}

// raise moves the document in force up to a better place in the order.
func (r *Register) raise(now time.Time, entry *Entry, d Digest) Outcome {
	current := DigestOf(entry.Held)
	if d.Compare(current) <= 0 {
		return Unchanged
	}
	r.unsum(current)
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

func (r *Register) replace(now time.Time, entry *Entry, h Held) {
	loser := DigestOf(entry.Held)
	rivals := entry.Rivals
	r.put(now, h)
	winner := r.entries[loser.Service]
	winner.addRival(loser)
	for _, rival := range rivals {
		winner.addRival(rival)
	}
}

func (e *Entry) addRival(d Digest) Outcome {
	if d.Content == e.Content || len(e.Rivals) == maxRivals {
		return Unchanged
	}
	for _, known := range e.Rivals {
		if known.Content == d.Content {
			return Unchanged
		}
	}
	e.Rivals = append(e.Rivals, d)
	return RivalLost
}

// Confirmation is who last agreed with the whole register, and when.
type Confirmation struct {
	At time.Time
	// Alone tells that no peer answers, so that the platform has to do.
	Alone bool
}

// Seal seals what has been in force for SealAfter and was confirmed at least
// SealAfter after it came into force. A node alone seals nothing beside which
// the platform shows another document. It returns the services.
func (r *Register) Seal(now time.Time, confirmed Confirmation) []ServiceKey {
	var sealed []ServiceKey
	for key, entry := range r.entries {
		if _, doubted := r.refusals[entry.Ticket.Service]; doubted && confirmed.Alone {
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
