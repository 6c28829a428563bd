package datagram

import "cactustray/steering"

// resetSize is the least size in bytes of a datagram that the QUIC library
// answers with a stateless reset.
const resetSize = 43

// isReset tells whether a datagram is delivered only to be reset.
func isReset(reason steering.Reason) bool {
	return reason == steering.StaleIncarnation || reason == steering.OwnerGone
}

// padForReset grows a datagram of n bytes that is to be reset. Callers that
// only listen send nothing but short acknowledgements and probes, and the
// library leaves these unanswered, since two ends could reset each other
// without end. Here they can't: a reset bears no owner token.
func padForReset(p []byte, n int) int {
	if n >= resetSize || len(p) < resetSize {
		return n
	}
	clear(p[n:resetSize])
	return resetSize
}
