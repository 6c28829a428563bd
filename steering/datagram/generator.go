package datagram

import (
	"context"
	"sync/atomic"

	"cactustray/placement"
	"cactustray/steering"

	"github.com/quic-go/quic-go"
)

// TokenGenerator generates the QUIC connection ids of one process, which are
// its owner tokens. It is safe for concurrent use.
type TokenGenerator struct {
	Sealer *steering.Sealer
	Owner  steering.Owner

	nonce atomic.Uint32
}

// GenerateConnectionID returns a new token. It never fails.
func (g *TokenGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	token := g.Sealer.Seal(g.Owner, g.nonce.Add(1))
	return quic.ConnectionIDFromBytes(token[:]), nil
}

// ConnectionIDLen returns the length of a token in bytes.
func (g *TokenGenerator) ConnectionIDLen() int { return steering.TokenSize }

// LimitConnections returns a ConnContext for a QUIC transport. It counts
// connections from their first datagram to their end and refuses those beyond
// the limit, so that the caller is notified at once.
func LimitConnections(connections *placement.Connections) func(context.Context, *quic.ClientInfo) (context.Context, error) {
	return func(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
		if !connections.Acquire() {
			return nil, &ConnectionLimitError{Caller: info.RemoteAddr}
		}
		context.AfterFunc(ctx, connections.Release)
		return ctx, nil
	}
}
