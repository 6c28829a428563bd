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
	// TokenSize is the length of an owner token in bytes: the key id, then one
	// AES block.
	TokenSize = 1 + aes.BlockSize
	// SecretSize is the length of a token key's secret in bytes.
	SecretSize = 16
)

// Token is an encrypted Owner as datagrams carry it: a QUIC connection id
// chosen by the agent, as in the block cipher mode of QUIC-LB.
type Token [TokenSize]byte

// Incarnation distinguishes successive processes of one endpoint. It is the
// start time of the process, in seconds since the Unix epoch.
type Incarnation uint32

// Owner identifies the process that holds a flow's state.
type Owner struct {
	Endpoint    ticket.EndpointKey
	Incarnation Incarnation
}

// Key is a secret key for owner tokens.
type Key struct {
	ID     byte
	Secret [SecretSize]byte
}

// ParseKey parses a secret of 32 hexadecimal digits. It fails with *KeyError.
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

// Sealer encrypts and decrypts owner tokens. It is immutable and safe for
// concurrent use.
type Sealer struct {
	sealingKey byte
	ciphers    [256]cipher.Block
}

// NewSealer returns a sealer that encrypts tokens with the first key and
// decrypts those of every key.
func NewSealer(keys []Key) (*Sealer, error) {
	s := &Sealer{sealingKey: keys[0].ID}
	for _, key := range keys {
		block, err := aes.NewCipher(key.Secret[:])
		if err != nil {
			return nil, &KeyError{ID: key.ID}
		}
		s.ciphers[key.ID] = block
	}
	return s, nil
}

// Seal returns the encrypted token of an owner. The nonce makes the tokens of
// one owner distinct.
func (s *Sealer) Seal(owner Owner, nonce uint32) Token {
	var token Token
	token[0] = s.sealingKey
	block := token[1:]
	binary.BigEndian.PutUint64(block, uint64(owner.Endpoint))
	binary.BigEndian.PutUint32(block[8:], uint32(owner.Incarnation))
	binary.BigEndian.PutUint32(block[12:], nonce)
	s.ciphers[s.sealingKey].Encrypt(block, block)
	return token
}

// Open returns the owner that a token names; ok is false if the length is wrong
// or the key is unknown. Tokens carry no checksum: a forged one decrypts to an
// owner that does not exist, so the caller must look the endpoint up.
func (s *Sealer) Open(token []byte) (owner Owner, ok bool) {
	return s.NewOpener().Open(token)
}

// Opener decrypts tokens without allocating. It is for one goroutine.
type Opener struct {
	sealer    *Sealer
	plaintext [aes.BlockSize]byte
}

// NewOpener returns an opener for one goroutine.
func (s *Sealer) NewOpener() *Opener { return &Opener{sealer: s} }

// Open does the same as Sealer.Open.
func (o *Opener) Open(token []byte) (owner Owner, ok bool) {
	if len(token) != TokenSize {
		return Owner{}, false
	}
	block := o.sealer.ciphers[token[0]]
	if block == nil {
		return Owner{}, false
	}
	block.Decrypt(o.plaintext[:], token[1:])
	owner.Endpoint = ticket.EndpointKey(binary.BigEndian.Uint64(o.plaintext[:]))
	owner.Incarnation = Incarnation(binary.BigEndian.Uint32(o.plaintext[8:]))
	return owner, true
}
