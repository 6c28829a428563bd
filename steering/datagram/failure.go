package datagram

import "fmt"

// SocketError reports a socket that failed for good.
type SocketError struct {
	Address string
	Cause   error
}

func (e *SocketError) Error() string { return fmt.Sprintf("socket %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Cause }
