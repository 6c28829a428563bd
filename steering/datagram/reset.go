package datagram

import "cactustray/steering"

// resetSize is the minimum size in bytes of a datagram that the QUIC library
// answers with a stateless reset.
const resetSize = 43

// isReset reports whether a datagram is delivered only to be reset.
func isReset(reason steering.Reason) bool {
	return reason == steering.StaleIncarnation || reason == steering.OwnerGone
}

// padForReset pads a datagram of n bytes, which is to be reset, to resetSize
// bytes and returns its length. Callers that only receive send nothing but
// short acknowledgements and probes. The library does not answer those, since
// two endpoints could reset each other in an endless loop. This cannot happen
// here: a reset carries no owner token, so it is dropped and not answered.
func padForReset(p []byte, n int) int {
	if n >= resetSize || len(p) < resetSize {
		return n
	}
	clear(p[n:resetSize])
	return resetSize
}
