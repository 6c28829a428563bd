package flow

import "fmt"

// Codec reads and writes the packets of one fabric.
type Codec interface {
	// Decode fails with *MalformedError; the packet is then dropped.
	Decode(datagram []byte) (Packet, error)
	// AppendReset appends the datagram of a reset to b.
	AppendReset(b []byte, r Reset) []byte
	// RequestID returns the id of the request that begins in a caller's packet, or
	// "" when the packet shows none. It is for logs only.
	RequestID(datagram []byte) string
	// Status returns the status of the answer that begins in an endpoint's packet,
	// or 0 when the packet shows none. It is for logs only.
	Status(datagram []byte) int
	// Unbounce makes a packet that an endpoint gave back what its sender wrote.
	Unbounce(datagram []byte)
}

// MalformedError reports a datagram that is no packet of the fabric's.
type MalformedError struct {
	Length int
	Why    string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("packet of %d bytes: %s", e.Length, e.Why)
}
