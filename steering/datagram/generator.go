package datagram

import (
	"sync/atomic"

	"cactustray/steering"

	"github.com/quic-go/quic-go"
)

// TokenIDs makes the owner tokens of one process as QUIC connection ids. It is
// safe for concurrent use.
type TokenIDs struct {
	Sealer *steering.Sealer
	Owner  steering.Owner

	nonce atomic.Uint32
}

// GenerateConnectionID returns the next token; it never fails.
func (g *TokenIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	token := g.Sealer.Seal(g.Owner, g.nonce.Add(1))
	return quic.ConnectionIDFromBytes(token[:]), nil
}

// ConnectionIDLen returns the length of every token.
func (g *TokenIDs) ConnectionIDLen() int { return steering.TokenSize }
