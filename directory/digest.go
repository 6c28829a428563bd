package directory

import (
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the content that determines where flows are placed:
// balancers with the same digest route alike.
func (s *State) Digest() uint64 {
	h := xxhash.New()
	hashNumber(h, uint64(s.desired.Version))
	hashNumber(h, uint64(s.desired.ModRevision))
	return h.Sum64() ^ s.digest ^ s.evacuations.digest()
}

// digest returns the contribution of a registered endpoint to the state's
// digest.
func (e Endpoint) digest() uint64 {
	h := xxhash.New()
	hashText(h, e.ID)
	hashText(h, e.Service)
	hashText(h, e.Address.String())
	hashNumber(h, uint64(e.Incarnation))
	hashNumber(h, uint64(e.Slots))
	if e.Draining {
		hashText(h, "draining")
	}
	return h.Sum64()
}

// sameContent reports whether two entries with one ID are equal except for
// revision, sequence number and warm-up time.
func (e Endpoint) sameContent(other Endpoint) bool {
	e.ModRevision, e.Sequence, e.WarmUpTime = other.ModRevision, other.Sequence, other.WarmUpTime
	return e == other
}

func hashNumber(h hash.Hash, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:]) // never fails
}

func hashText(h hash.Hash, s string) {
	_, _ = h.Write(append([]byte(s), 0)) // never fails
}
