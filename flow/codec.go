package flow

import "fmt"

// Codec decodes and encodes the packets of one fabric.
type Codec interface {
	// Decode returns the packet in a datagram, or *MalformedError for a datagram that is
	// not a packet of the fabric; the datagram is then dropped. The packet's Flow has the
	// sender as the caller: of a packet that an endpoint sent, its ends must be swapped.
	Decode(datagram []byte) (Packet, error)
	// AppendReset appends the datagram of a reset to b.
	AppendReset(b []byte, r Reset) []byte
	// RequestID returns the id of the request that begins in a caller's packet, or ""
	// if the packet has none. It is used only for logs.
	RequestID(datagram []byte) string
	// Status returns the status of the answer that begins in an endpoint's packet, or 0
	// if the packet has none. It is used only for logs.
	Status(datagram []byte) int
	// RestoreReturned restores, in place, a caller's packet that the endpoint gave back
	// to the bytes that the caller sent.
	RestoreReturned(datagram []byte)
}

// MalformedError reports a datagram that is not a valid packet of the fabric.
type MalformedError struct {
	Length int
	Why    string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("packet of %d bytes: %s", e.Length, e.Why)
}
