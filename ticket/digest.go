package ticket

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies a version of a service's ticket without its document.
type Digest struct {
	Service ServiceKey
	Number  Number
	Index   uint64
	Sealed  bool
	Content uint64
}

// DigestOf returns the digest of a ticket.
func DigestOf(record Record) Digest {
	return Digest{Service: record.Ticket.Key(), Number: record.Ticket.Number, Index: record.Index, Sealed: record.Sealed, Content: record.Content}
}

// Compare compares the rank of two tickets of one service; the ticket of the
// greater digest is in force. The order is total, so joining by it is
// commutative, associative and idempotent: a higher number wins; with equal
// numbers a sealed ticket, then the earlier publication, then the greater
// content hash.
func (d Digest) Compare(other Digest) int {
	return cmp.Or(
		cmp.Compare(d.Number, other.Number),
		compareBool(d.Sealed, other.Sealed),
		cmp.Compare(other.Index, d.Index),
		cmp.Compare(d.Content, other.Content),
	)
}

// SameTicket reports whether both name the same document with the same number.
// Their ranks may differ, by index or seal.
func (d Digest) SameTicket(other Digest) bool {
	return d.Number == other.Number && d.Content == other.Content
}

// ConflictsWith reports whether both have the same number but different
// documents.
func (d Digest) ConflictsWith(other Digest) bool {
	return d.Number == other.Number && d.Content != other.Content
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// sum returns the digest's contribution to the sum of its bucket. Sealed is
// left out because every node seals independently at its own time.
func (d Digest) sum() uint64 {
	var raw [32]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(d.Service))
	binary.LittleEndian.PutUint64(raw[8:], uint64(d.Number))
	binary.LittleEndian.PutUint64(raw[16:], d.Index)
	binary.LittleEndian.PutUint64(raw[24:], d.Content)
	return xxhash.Sum64(raw[:])
}
