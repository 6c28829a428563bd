package wire

import (
	"encoding/binary"
	"math"
	"time"

	"cactustray/flow"
)

// classSize is the length in bytes of the class at the end of a ForwardClass datagram:
// priority, flags, and goal and limit in milliseconds.
const classSize = 6

// repeatableFlag marks requests that may run more than once.
const repeatableFlag = 1

// AppendClass appends a class to a datagram of the kind Forward, which becomes one of the
// kind ForwardClass.
func AppendClass(datagram []byte, c flow.Class) []byte {
	var flags byte
	if c.Repeatable {
		flags = repeatableFlag
	}
	datagram[0] = byte(ForwardClass)
	datagram = append(datagram, c.Priority, flags)
	datagram = binary.BigEndian.AppendUint16(datagram, wholeMillis(c.Goal))
	return binary.BigEndian.AppendUint16(datagram, wholeMillis(c.Limit))
}

// SplitClass returns the datagram of the kind Forward and the class in one of the kind
// ForwardClass.
func SplitClass(datagram []byte) ([]byte, flow.Class, error) {
	if len(datagram) < EnvelopeSize+classSize {
		return nil, flow.Class{}, &DecodeError{Length: len(datagram), Cause: &ShortError{Kind: ForwardClass}}
	}
	rest, encoded := datagram[:len(datagram)-classSize], datagram[len(datagram)-classSize:]
	c := flow.Class{
		Priority: encoded[0], Repeatable: encoded[1]&repeatableFlag != 0,
		Goal:  time.Duration(binary.BigEndian.Uint16(encoded[2:])) * time.Millisecond,
		Limit: time.Duration(binary.BigEndian.Uint16(encoded[4:])) * time.Millisecond,
	}
	return rest, c, nil
}

// wholeMillis returns a duration in milliseconds, 65,535 at most.
func wholeMillis(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}
