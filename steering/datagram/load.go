package datagram

import (
	"time"

	"cactustray/placement"
	"cactustray/steering"
	"cactustray/steering/steeringpb"

	"google.golang.org/protobuf/proto"
)

func encodeLoad(l placement.Load) *steeringpb.Load {
	return &steeringpb.Load{
		Incarnation:     uint32(l.Incarnation),
		Sequence:        l.Sequence,
		Slots:           l.Slots,
		Running:         l.Running,
		Queued:          l.Queued,
		Connections:     l.Connections,
		ConnectionLimit: l.ConnectionLimit,
		Ramp:            l.Ramp,
		Leaving:         l.Leaving,
		ExpectedWaitMs:  uint32(l.ExpectedWait.Milliseconds()),
	}
}

// decodeLoad decodes a load without its endpoint, which the envelope names.
func decodeLoad(raw []byte) (l placement.Load, ok bool) {
	message := new(steeringpb.Load)
	if proto.Unmarshal(raw, message) != nil {
		return placement.Load{}, false
	}
	return placement.Load{
		Incarnation:     steering.Incarnation(message.Incarnation),
		Sequence:        message.Sequence,
		Slots:           message.Slots,
		Running:         message.Running,
		Queued:          message.Queued,
		Connections:     message.Connections,
		ConnectionLimit: message.ConnectionLimit,
		Ramp:            message.Ramp,
		Leaving:         message.Leaving,
		ExpectedWait:    time.Duration(message.ExpectedWaitMs) * time.Millisecond,
	}, true
}
