package steering

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"cactustray/ticket"
)

const (
	// TokenSize is the length of an owner token in bytes: the key's id, then
	// one AES block.
	TokenSize = 1 + aes.BlockSize
	// SecretSize is the length of a token key's secret in bytes.
	SecretSize = 16
)

// Token is the form in which a datagram carries its Owner: a QUIC connection
// id chosen by the agent, as in the block cipher mode of QUIC-LB.
type Token [TokenSize]byte

// Incarnation tells the processes apart that ran at one endpoint in turn: the
// second, since the Unix epoch, in which the process started.
type Incarnation uint32

// Owner is who holds a flow's state.
type Owner struct {
	Endpoint    ticket.EndpointKey
	Incarnation Incarnation
}

// Key is one secret for owner tokens.
type Key struct {
	ID     byte
	Secret [SecretSize]byte
}

// ParseKey reads a secret of 32 hexadecimal digits. It fails with *KeyError.
func ParseKey(id byte, secret string) (Key, error) {
	raw, err := hex.DecodeString(secret)
	if err != nil || len(raw) != SecretSize {
		return Key{}, &KeyError{ID: id}
	}
	return Key{ID: id, Secret: [SecretSize]byte(raw)}, nil
}

// KeyError reports a secret that is not 32 hexadecimal digits.
type KeyError struct{ ID byte }

func (e *KeyError) Error() string {
	return fmt.Sprintf("token key %d: the secret is not %d hexadecimal digits", e.ID, 2*SecretSize)
}

// Sealer makes and opens owner tokens. It is immutable and safe for
// concurrent use.
type Sealer struct {
	mint   byte
	blocks [256]cipher.Block
}

// NewSealer returns a sealer that makes tokens with the first key and opens
// those of every key.
func NewSealer(keys []Key) (*Sealer, error) {
	s := &Sealer{mint: keys[0].ID}
	for _, key := range keys {
		block, err := aes.NewCipher(key.Secret[:])
		if err != nil {
			return nil, &KeyError{ID: key.ID}
		}
		s.blocks[key.ID] = block
	}
	return s, nil
}

// Seal makes the token of an owner; nonce tells the owner's tokens apart.
func (s *Sealer) Seal(owner Owner, nonce uint32) Token {
	var token Token
	token[0] = s.mint
	block := token[1:]
	binary.BigEndian.PutUint64(block, uint64(owner.Endpoint))
	binary.BigEndian.PutUint32(block[8:], uint32(owner.Incarnation))
	binary.BigEndian.PutUint32(block[12:], nonce)
	s.blocks[s.mint].Encrypt(block, block)
	return token
}

// Open returns the owner a token names. Bytes that no key sealed open to an
// owner that does not exist, so the caller looks the endpoint up; ok is false
// when there is no such key or the length is wrong.
func (s *Sealer) Open(token []byte) (owner Owner, ok bool) {
	return s.NewOpener().Open(token)
}

// Opener opens tokens without allocating. It is for one goroutine.
type Opener struct {
	sealer *Sealer
	plain  [aes.BlockSize]byte
}

// NewOpener returns an opener for one goroutine.
func (s *Sealer) NewOpener() *Opener { return &Opener{sealer: s} }

// Open is Sealer.Open.
func (o *Opener) Open(token []byte) (owner Owner, ok bool) {
	if len(token) != TokenSize {
		return Owner{}, false
	}
	block := o.sealer.blocks[token[0]]
	if block == nil {
		return Owner{}, false
	}
	block.Decrypt(o.plain[:], token[1:])
	owner.Endpoint = ticket.EndpointKey(binary.BigEndian.Uint64(o.plain[:]))
	owner.Incarnation = Incarnation(binary.BigEndian.Uint32(o.plain[8:]))
	return owner, true
}
