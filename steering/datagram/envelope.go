package datagram

import (
	"net/netip"

	"cactustray/placement"
	"cactustray/steering"
	"cactustray/steering/steeringpb"
	"cactustray/ticket"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxDatagram is the largest datagram read from a socket, in bytes.
	MaxDatagram = 1 << 16
	portSize    = 2
	// maxCaller is the longest encoded caller address, in bytes.
	maxCaller = 16 + portSize
)

// Fields of steeringpb.Envelope.
const (
	fieldService protowire.Number = iota + 1
	fieldCaller
	fieldTicket
	fieldHandedOn
	fieldEndpoint
	fieldPayload
	fieldTrace
	fieldOwnerGone
	fieldBehind
	fieldLoad
)

// Envelope is the message steeringpb.Envelope. It is encoded and decoded
// without allocating, except for Behind and Load.
type Envelope struct {
	Service   ticket.ServiceKey
	Endpoint  ticket.EndpointKey
	Ticket    ticket.Number
	Caller    netip.AddrPort
	HandedOn  uint64
	OwnerGone bool
	// Payload and Trace alias the parsed datagram.
	Payload []byte
	Trace   []byte
	// Behind is the number of the sender's ticket. It is valid only if IsBehind
	// is set.
	Behind   ticket.Number
	IsBehind bool
	// Load is the sender's load. It is valid only if IsLoad is set.
	Load   placement.Load
	IsLoad bool
}

// Append appends the encoded envelope to b.
func (e *Envelope) Append(b []byte) []byte {
	b = appendFixed64(b, fieldService, uint64(e.Service))
	if e.Caller.IsValid() {
		b = protowire.AppendTag(b, fieldCaller, protowire.BytesType)
		b = appendCaller(b, e.Caller)
	}
	b = appendVarint(b, fieldTicket, uint64(e.Ticket))
	b = appendVarint(b, fieldHandedOn, e.HandedOn)
	b = appendFixed64(b, fieldEndpoint, uint64(e.Endpoint))
	b = appendBytes(b, fieldPayload, e.Payload)
	b = appendBytes(b, fieldTrace, e.Trace)
	b = appendVarint(b, fieldOwnerGone, protowire.EncodeBool(e.OwnerGone))
	if e.IsBehind {
		b = appendMessage(b, fieldBehind, &steeringpb.Behind{Ticket: uint64(e.Behind)})
	}
	if e.IsLoad {
		b = appendMessage(b, fieldLoad, encodeLoad(e.Load))
	}
	return b
}

// appendMessage appends a submessage. It uses the generated code, since
// envelopes with a submessage carry no payload and are rare.
func appendMessage(b []byte, field protowire.Number, message proto.Message) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(proto.Size(message)))
	b, _ = proto.MarshalOptions{}.MarshalAppend(b, message) // fails only on invalid UTF-8
	return b
}

func appendFixed64(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, value)
}

func appendVarint(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

func appendBytes(b []byte, field protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, value)
}

// appendCaller appends the length, the address bytes, and the port in network
// byte order.
func appendCaller(b []byte, caller netip.AddrPort) []byte {
	ip := caller.Addr().Unmap()
	if ip.Is4() {
		raw := ip.As4()
		b = protowire.AppendVarint(b, uint64(len(raw)+portSize))
		b = append(b, raw[:]...)
	} else {
		raw := ip.As16()
		b = protowire.AppendVarint(b, maxCaller)
		b = append(b, raw[:]...)
	}
	return append(b, byte(caller.Port()>>8), byte(caller.Port()))
}

func parseCaller(raw []byte) (caller netip.AddrPort, ok bool) {
	if len(raw) < portSize {
		return netip.AddrPort{}, false
	}
	host, port := raw[:len(raw)-portSize], raw[len(raw)-portSize:]
	addr, ok := netip.AddrFromSlice(host)
	return netip.AddrPortFrom(addr.Unmap(), uint16(port[0])<<8|uint16(port[1])), ok
}

// Parse decodes an envelope; ok is false if raw is not a valid one.
func (e *Envelope) Parse(raw []byte) (ok bool) {
	*e = Envelope{}
	for len(raw) > 0 {
		field, kind, n := protowire.ConsumeTag(raw)
		if n < 0 || field > protowire.MaxValidNumber {
			return false
		}
		raw = raw[n:]
		if n, ok = e.parseField(field, kind, raw); !ok {
			return false
		}
		raw = raw[n:]
	}
	e.Load.Endpoint = e.Endpoint
	return true
}

func (e *Envelope) parseField(field protowire.Number, kind protowire.Type, raw []byte) (n int, ok bool) {
	switch kind {
	case protowire.Fixed64Type:
		value, n := protowire.ConsumeFixed64(raw)
		e.setFixed64(field, value)
		return n, n >= 0
	case protowire.VarintType:
		value, n := protowire.ConsumeVarint(raw)
		e.setVarint(field, value)
		return n, n >= 0
	case protowire.BytesType:
		value, n := protowire.ConsumeBytes(raw)
		return n, n >= 0 && e.setBytes(field, value)
	}
	n = protowire.ConsumeFieldValue(field, kind, raw)
	return n, n >= 0
}

func (e *Envelope) setFixed64(field protowire.Number, value uint64) {
	switch field {
	case fieldService:
		e.Service = ticket.ServiceKey(value)
	case fieldEndpoint:
		e.Endpoint = ticket.EndpointKey(value)
	}
}

func (e *Envelope) setVarint(field protowire.Number, value uint64) {
	switch field {
	case fieldTicket:
		e.Ticket = ticket.Number(value)
	case fieldHandedOn:
		e.HandedOn = value
	case fieldOwnerGone:
		e.OwnerGone = protowire.DecodeBool(value)
	}
}

func (e *Envelope) setBytes(field protowire.Number, value []byte) (ok bool) {
	switch field {
	case fieldCaller:
		e.Caller, ok = parseCaller(value)
		return ok
	case fieldPayload:
		e.Payload = value
	case fieldTrace:
		e.Trace = value
	case fieldBehind:
		e.IsBehind = true
		message := new(steeringpb.Behind)
		ok = proto.Unmarshal(value, message) == nil
		e.Behind = ticket.Number(message.Ticket)
		return ok
	case fieldLoad:
		e.IsLoad = true
		e.Load, ok = decodeLoad(value)
		return ok
	}
	return true
}

// arrival returns the input of steering.AgentSnapshot.Receive for a datagram
// with this envelope.
func (e *Envelope) arrival(from netip.AddrPort, p steering.Packet) steering.Arrival {
	return steering.Arrival{
		Sender:    unmapped(from),
		Service:   e.Service,
		Endpoint:  e.Endpoint,
		Ticket:    e.Ticket,
		HandedOn:  e.HandedOn > 0,
		OwnerGone: e.OwnerGone,
		Packet:    p,
	}
}

func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
