// Package ticket determines which ticket is in force for every service: it
// contains the tickets, their validation, and the register that joins them. Its
// decisions are independent of wire encoding, sockets and clocks.
package ticket

import (
	"fmt"
	"net/netip"
	"strings"

	"cactustray/document"

	"github.com/cespare/xxhash/v2"
)

// Number orders the tickets of one service; operators assign it.
type Number uint64

// ServiceKey identifies a service on the wire: it is the hash of the service's
// name.
type ServiceKey uint64

// EndpointKey identifies a backend server on the wire: it is the hash of the
// service's name and its own.
type EndpointKey uint64

// ServiceKeyOf returns the key of the service with the given name.
func ServiceKeyOf(name string) ServiceKey {
	return ServiceKey(xxhash.Sum64String(name))
}

// EndpointKeyOf returns the key of the named backend server of a service.
func EndpointKeyOf(service, endpoint string) EndpointKey {
	return EndpointKey(xxhash.Sum64String(service + "\x00" + endpoint))
}

// Ticket is the complete desired state of one service, as operators publish it.
type Ticket struct {
	// Number orders the tickets of the service; it starts at 1.
	Number Number `json:"number"`
	// Service is the service's name.
	Service string `json:"service"`
	// Address is the address at which callers reach the service.
	Address netip.AddrPort `json:"address"`
	// Removed takes the service out of use; the ticket is retained, so that an
	// older one cannot come back into force.
	Removed bool `json:"removed,omitempty"`
	// Endpoints are the service's backend servers.
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Limits bound the work that each backend server accepts.
	Limits Limits `json:"limits"`
	// Feeds are path prefixes whose requests are long-lived streams, not jobs.
	Feeds []string `json:"feeds,omitempty"`
	// Idempotent are path prefixes whose requests may be run more than once,
	// whatever their method.
	Idempotent []string `json:"idempotent,omitempty"`
}

// Endpoint is one backend server with its agent.
type Endpoint struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// Zone is the failure domain.
	Zone string `json:"zone"`
	// Datagram is where the agent receives enveloped datagrams.
	Datagram netip.AddrPort `json:"datagram"`
	// Control is where the agent receives calls from the system's processes.
	Control netip.AddrPort `json:"control"`
	// Weight is the share of new flows, relative to the other endpoints.
	Weight uint32 `json:"weight"`
	// Draining excludes the backend server from new work.
	Draining bool `json:"draining,omitempty"`
}

// Limits bound the work that one backend server accepts.
type Limits struct {
	// Slots is how many jobs run at once.
	Slots uint32 `json:"slots"`
	// Connections is how many connections may be open at once.
	Connections uint32 `json:"connections"`
	// QueueMillis is the longest time a job may wait for a slot, in
	// milliseconds.
	QueueMillis uint32 `json:"queue_ms"`
	// DrainSeconds is how long feeds may continue after draining began, in
	// seconds.
	DrainSeconds uint32 `json:"drain_s"`
}

// Key returns the service's key.
func (t *Ticket) Key() ServiceKey { return ServiceKeyOf(t.Service) }

// IsFeed reports whether requests for path are long-lived streams.
func (t *Ticket) IsFeed(path string) bool { return hasPrefix(t.Feeds, path) }

// IsIdempotent reports whether requests for path may be run more than once.
func (t *Ticket) IsIdempotent(path string) bool { return hasPrefix(t.Idempotent, path) }

func hasPrefix(prefixes []string, path string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Parse decodes and checks a ticket's JSON text. It fails with *CheckError,
// which lists all problems.
func Parse(text []byte) (*Ticket, error) {
	if len(text) > MaxDocumentBytes {
		var c checker
		c.Require(false, "document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("%d bytes or less", MaxDocumentBytes))
		return nil, &CheckError{Problems: c.Problems}
	}
	t := new(Ticket)
	decoding := document.Decode(text, t)
	if problems := document.Merge(decoding, Check(t)); len(problems) > 0 {
		return nil, &CheckError{Service: t.Service, Problems: problems}
	}
	return t, nil
}
