package steering

import (
	"testing"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func testKey(t testing.TB, id byte, secret string) Key {
	key, err := ParseKey(id, secret)
	must.NoError(t, err)
	return key
}

// A token of the old key opens to its owner while the old key is still
// configured as the second one, and does not open once that key is removed.
func TestTokenOpensDuringKeyRotation(t *testing.T) {
	old := testKey(t, 1, "00112233445566778899aabbccddeeff")
	next := testKey(t, 2, "ffeeddccbbaa99887766554433221100")
	before, err := NewSealer([]Key{old})
	must.NoError(t, err)
	during, err := NewSealer([]Key{next, old})
	must.NoError(t, err)
	after, err := NewSealer([]Key{next})
	must.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		owner := Owner{
			Endpoint:    ticket.EndpointKey(rapid.Uint64().Draw(t, "endpoint")),
			Incarnation: Incarnation(rapid.Uint32().Draw(t, "incarnation")),
		}
		token := before.Seal(owner, rapid.Uint32().Draw(t, "nonce"))
		opened, ok := during.Open(token[:])
		must.True(t, ok)
		must.EqOp(t, owner, opened)
		_, ok = after.Open(token[:])
		must.False(t, ok)
	})
}
