package ticket

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts of a register that have separate sums, so that
// registers that differ in a few services exchange few digests.
const Buckets = 64

// Bucket is the number of one part of a register.
type Bucket uint8

// BucketOf returns the bucket of a service.
func BucketOf(key ServiceKey) Bucket { return Bucket(key % Buckets) }

// Sums are the sums of the digests in each bucket.
type Sums [Buckets]uint64

// Summary returns the hash of the whole register. Registers with equal content
// have equal summaries, in whatever order they received it.
func (r *Register) Summary() uint64 {
	var raw [8 * Buckets]byte
	for i, sum := range r.sums {
		binary.LittleEndian.PutUint64(raw[8*i:], sum)
	}
	return xxhash.Sum64(raw[:])
}

// Sums returns the sums of all buckets.
func (r *Register) Sums() Sums { return r.sums }

// differing returns the buckets whose sums differ.
func (r *Register) differing(theirs Sums) []Bucket {
	var buckets []Bucket
	for i, sum := range r.sums {
		if sum != theirs[i] {
			buckets = append(buckets, Bucket(i))
		}
	}
	return buckets
}

// digestsIn returns the digests of the services in the given buckets.
func (r *Register) digestsIn(buckets []Bucket) []Digest {
	wanted := bucketSet(buckets)
	var digests []Digest
	for key, entry := range r.entries {
		if wanted[BucketOf(key)] {
			digests = append(digests, DigestOf(entry.Record))
		}
	}
	return digests
}

func bucketSet(buckets []Bucket) (set [Buckets]bool) {
	for _, b := range buckets {
		set[b%Buckets] = true
	}
	return set
}

func (r *Register) sum(d Digest)      { r.sums[BucketOf(d.Service)] += d.sum() }
func (r *Register) subtract(d Digest) { r.sums[BucketOf(d.Service)] -= d.sum() }
