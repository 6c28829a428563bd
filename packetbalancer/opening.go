package packetbalancer

import (
	"cactustray/flow"
	"cactustray/flow/wire"
)

// readsClassReceived records whether an agent reads the classes of opening packets.
func (f *forwarder) readsClassReceived(agent flow.Address, reads bool) {
	if endpoint := f.table.Load().Agents[agent]; endpoint != nil {
		endpoint.AgentLoad.SetReadsClass(reads)
	}
}

// withTrailers returns the datagram of the kind Forward that carries a packet, with what follows
// an opening packet: the class of its requests and the name of its service, if the agents that may
// receive them read them.
func withTrailers(datagram []byte, d flow.Decision) []byte {
	if d.StatesClass {
		datagram = wire.AppendClass(datagram, d.Class)
	}
	if d.Naming == flow.ByName {
		datagram = wire.AppendName(datagram, flow.StatedName(d.ServiceName), d.AlternateNaming)
	}
	return datagram
}
