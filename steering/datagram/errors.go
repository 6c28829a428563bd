package datagram

import (
	"fmt"
	"net"
)

// SocketError reports a socket that could not be opened or read.
type SocketError struct {
	Address string
	Cause   error
}

func (e *SocketError) Error() string { return fmt.Sprintf("socket %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Cause }

// ConnectionLimitError reports a connection that was refused because the limit
// of open connections is reached.
type ConnectionLimitError struct{ Caller net.Addr }

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("connection from %s refused: connection limit reached", e.Caller)
}
