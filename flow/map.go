package flow

import (
	"cactustray/placement"
)

// Site is an endpoint as balancers see it: its agent takes its packets.
type Site struct {
	// Agent is where the agent takes packets and messages.
	Agent   Address
	Service *Service
	placement.Candidate
	// hash is the agent's, for the order that flows prefer.
	hash uint64
}

// NewSite returns the site of an endpoint.
func NewSite(agent Address, service *Service, candidate placement.Candidate) *Site {
	return &Site{Agent: agent, Service: service, Candidate: candidate, hash: Key{Caller: agent}.hash()}
}

// Service is one service as the traffic side sees it.
type Service struct {
	Name string
	// Tag is a hash of the name that packets carry, so that an agent whose
	// endpoint belongs to another service does not deliver them.
	Tag uint16
	// Takers take new flows; Candidates has their loads, in the same order.
	Takers     []*Site
	Candidates []*placement.Candidate
	// Holders may hold open flows: takers, and endpoints that drain or left.
	Holders []*Site
}

// Share is a part of a route's new flows.
type Share struct {
	Service *Service
	Weight  uint32
}

// Route is where the flows of an address go.
type Route struct {
	Shares []Share
	Weight uint32
}

// Service returns where a new flow goes: the same for all its packets on every
// balancer with the same route. It is nil where no share has a weight.
func (r *Route) Service(key Key) *Service {
	if r.Weight == 0 {
		return nil
	}
	point := uint32(key.hash() % uint64(r.Weight))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return nil
}

// Map is the snapshot that balancers place flows by. It is immutable but for
// the loads.
type Map struct {
	Routes map[Address]*Route
	// Services are those with endpoints or routes.
	Services []*Service
	// Agents has the site of every holder by its agent's address.
	Agents map[Address]*Site
	// Complete tells that the map has every endpoint that may hold open flows.
	Complete bool
	// Current is when the map was known to be the newest.
	Current func() Stamp
}

// NewMap returns an empty map.
func NewMap() *Map {
	return &Map{Routes: make(map[Address]*Route), Agents: make(map[Address]*Site), Current: func() Stamp { return 0 }}
}

// hash spreads flows; FNV-1a over the key's bytes.
func (k Key) hash() uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	add := func(a Address) {
		for _, b := range a.IP {
			h = (h ^ uint64(b)) * prime
		}
		h = (h ^ uint64(a.Port&0xff)) * prime
		h = (h ^ uint64(a.Port>>8)) * prime
	}
	add(k.Caller)
	add(k.Service)
	h ^= h >> 32
	return h
}
