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

// withClass returns the datagram of an opening packet with the class of its requests, if the
// agents that may receive it read it.
func withClass(datagram []byte, d flow.Decision) []byte {
	if !d.StatesClass {
		return datagram
	}
	return wire.AppendClass(datagram, d.Class)
}
