package wire

import (
	"cactustray/flow"
)

// nameTrailerSize is the length in bytes of what follows the name in a ForwardNamed datagram:
// flags and the length of the name.
const nameTrailerSize = 2

const (
	// classFlag marks a datagram with a class before the name.
	classFlag = 1
	// alternateOmitFlag marks a datagram whose alternate does not read names.
	alternateOmitFlag = 2
)

// AppendName appends the name of its service to a datagram of the kind Forward or ForwardClass,
// which becomes one of the kind ForwardNamed. name is a flow.StatedName; alternate is how the
// packet states the service to the alternate.
func AppendName(datagram []byte, name string, alternate flow.Naming) []byte {
	var flags byte
	if KindOf(datagram) == ForwardClass {
		flags |= classFlag
	}
	if alternate != flow.ByName {
		flags |= alternateOmitFlag
	}
	datagram[0] = byte(ForwardNamed)
	datagram = append(datagram, name...)
	return append(datagram, flags, byte(len(name)))
}

// splitName returns the datagram of the kind Forward or ForwardClass and the name in one of the
// kind ForwardNamed.
func splitName(datagram []byte) (rest []byte, name string, alternate flow.Naming, err error) {
	short := &DecodeError{Length: len(datagram), Cause: &ShortError{Kind: ForwardNamed}}
	if len(datagram) < EnvelopeSize+nameTrailerSize {
		return nil, "", flow.ByTag, short
	}
	body, trailer := datagram[:len(datagram)-nameTrailerSize], datagram[len(datagram)-nameTrailerSize:]
	flags, length := trailer[0], int(trailer[1])
	if len(body) < EnvelopeSize+length {
		return nil, "", flow.ByTag, short
	}
	rest, name = body[:len(body)-length], string(body[len(body)-length:])
	rest[0] = byte(Forward)
	if flags&classFlag != 0 {
		rest[0] = byte(ForwardClass)
	}
	alternate = flow.ByName
	if flags&alternateOmitFlag != 0 {
		alternate = flow.NameOmitted
	}
	return rest, name, alternate, nil
}

// IsForward reports whether datagrams of the kind carry a caller's packet to an agent.
func (k Kind) IsForward() bool { return k == Forward || k == ForwardClass || k == ForwardNamed }

// OpenForward returns the envelope of a datagram that carries a caller's packet to an agent, and
// the part of the datagram that consists of the envelope and the packet.
func OpenForward(datagram []byte) (e Envelope, rest []byte, err error) {
	var named flow.StatedService
	alternate := flow.ByTag
	if KindOf(datagram) == ForwardNamed {
		named.Naming = flow.ByName
		if datagram, named.Name, alternate, err = splitName(datagram); err != nil {
			return Envelope{}, nil, err
		}
	}
	var class flow.Class
	if KindOf(datagram) == ForwardClass {
		if datagram, class, err = SplitClass(datagram); err != nil {
			return Envelope{}, nil, err
		}
	}
	e, _, err = OpenEnvelope(datagram)
	if named.Naming == flow.ByName {
		e.Naming, e.Name = named.Naming, named.Name
	}
	e.Class, e.AlternateNaming = class, alternate
	return e, datagram, err
}
