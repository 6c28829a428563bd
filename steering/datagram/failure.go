package datagram

import (
	"fmt"
	"net"
)

// SocketError reports a socket that failed for good.
type SocketError struct {
	Address string
	Cause   error
}

func (e *SocketError) Error() string { return fmt.Sprintf("socket %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Cause }

// ConnectionLimitError reports a connection that was refused because too many
// are open.
type ConnectionLimitError struct{ Caller net.Addr }

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("connection of %s refused: no more may open", e.Caller)
}
