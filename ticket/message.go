package ticket

import "cmp"

// Source says where an offered ticket came from.
type Source int

const (
	// FromPlatform: read from the platform.
	FromPlatform Source = iota
	// FromPeer: received from another process of the system.
	FromPeer
)

// Refused is a document that is no valid ticket.
type Refused struct {
	// Service is the service it was published for.
	Service string
	Cause   error
}

// Offered brings tickets to the control goroutine.
type Offered struct {
	Source  Source
	Held    []Held
	Refused []Refused
}

// Digest names a ticket in force without its document.
type Digest struct {
	Service ServiceKey
	Number  Number
	Index   uint64
	Sealed  bool
	Content uint64
}

// DigestOf returns the digest of a ticket.
func DigestOf(h Held) Digest {
	return Digest{Service: h.Ticket.Key(), Number: h.Ticket.Number, Index: h.Index, Sealed: h.Sealed, Content: h.Content}
}

// Compare orders digests as the tickets they name.
func (d Digest) Compare(other Digest) int {
	if c := cmp.Compare(d.Number, other.Number); c != 0 {
		return c
	}
	if d.Sealed != other.Sealed {
		if d.Sealed {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(other.Index, d.Index); c != 0 {
		return c
	}
	return cmp.Compare(d.Content, other.Content)
}

// Compared asks the control goroutine what it holds that is newer than the
// digests of another process.
type Compared struct {
	// Digests are what the other process holds.
	Digests []Digest
	// Services limits the answer; empty means all.
	Services []ServiceKey
	Reply    chan<- Comparison
}

// Comparison answers Compared.
type Comparison struct {
	// Newer are tickets the other process lacks.
	Newer []Held
	// Wanted are services of which the other process holds a newer ticket.
	Wanted []ServiceKey
}

// Compare returns what the register holds beyond the digests, and the reverse.
func (r *Register) Compare(digests []Digest, services []ServiceKey) Comparison {
	theirs := make(map[ServiceKey]Digest, len(digests))
	for _, d := range digests {
		theirs[d.Service] = d
	}
	var c Comparison
	consider := func(key ServiceKey, entry *Entry) {
		other, known := theirs[key]
		if !known || DigestOf(entry.Held).Compare(other) > 0 {
			c.Newer = append(c.Newer, entry.Held)
		}
	}
	if len(services) == 0 {
		r.Each(consider)
	}
	for _, key := range services {
		if entry := r.Entry(key); entry != nil {
			consider(key, entry)
		}
	}
	for key, d := range theirs {
		entry := r.Entry(key)
		if entry == nil || d.Compare(DigestOf(entry.Held)) > 0 {
			c.Wanted = append(c.Wanted, key)
		}
	}
	return c
}
