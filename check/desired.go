package check

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"cactustray/directory"
	"cactustray/document"
	"cactustray/platform"
	"cactustray/ticket"
)

// desired checks a desired state of the packet roles.
func (r *report) desired(inForce *File) error {
	next := platform.DecodeDesired(r.text)
	r.entryErrors(Refused, next.Refused)
	r.entryErrors(Ignored, next.Ignored)
	if next.State != nil {
		r.adviseRoutes(next.State)
		r.adviseServices(next.State)
	}
	if inForce == nil {
		return nil
	}
	known := platform.DecodeDesired(inForce.Text)
	if known.State == nil {
		return &UnreadableError{File: inForce.Name, Line: 1, Cause: known.Refused[0].Error()}
	}
	if next.State == nil {
		return nil
	}
	r.Changes = desiredChanges(known.State, next.State)
	r.require(next.State.Version > known.State.Version || next.State.Version == known.State.Version && len(r.Changes) == 0, NotNewer, "version",
		next.State.Version, fmt.Sprintf("above %d, the version in force: two contents of one version are not distinguished", known.State.Version))
	return nil
}

func (r *report) entryErrors(effect Effect, problems []*platform.EntryError) {
	for _, p := range problems {
		r.add(effect, p.Path, p.Value, p.Allowed)
		if p.Offset > 0 {
			r.Findings[len(r.Findings)-1].Line = document.LineAt(r.text, p.Offset)
		}
	}
}

func (r *report) adviseRoutes(d *directory.Desired) {
	last := make(map[netip.AddrPort]int)
	for i, route := range d.Routes {
		last[normal(route.Address)] = i
	}
	described := make(map[string]bool)
	for _, s := range d.Services {
		described[s.Name] = true
	}
	for i, route := range d.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		address := normal(route.Address)
		r.require(last[address] == i, NeverMatches, path, route.Address, fmt.Sprintf("an address that routes[%d] does not have: the last route of an address is used", last[address]))
		r.require(address.Addr().Is4(), NeverMatches, path+".host", route.Address.Addr(), "an IPv4 address: packets have no other")
		r.require(address.Port() > 0, NeverMatches, path+".prefix", address.Port(), "a port from 1 to 65535")
		r.adviseShares(path, route, described)
		if c := route.Class; c != nil {
			r.require(c.Goal <= c.Limit, Contradiction, path+".goal-ms", c.Goal, fmt.Sprintf("at most timeout-ms (%v): callers have given up by then", c.Limit))
			r.require(d.IdleTime <= 0 || c.Limit <= d.IdleTime, Contradiction, path+".timeout-ms", c.Limit,
				fmt.Sprintf("at most limits.idle-timeout-ms (%v): the flow would end while a request waits", d.IdleTime))
		}
	}
	r.require(d.IdleTime >= 0, Contradiction, "limits.idle-timeout-ms", d.IdleTime, "0 or more")
}

func normal(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

func (r *report) adviseShares(path string, route directory.Route, described map[string]bool) {
	total := uint64(0)
	for j, share := range route.Shares {
		total += uint64(share.Weight)
		at := fmt.Sprintf("%s.split[%d].service", path, j)
		if _, split := r.lines[path+".split"]; !split {
			at = path + ".service"
		}
		switch {
		case share.Service == "":
			r.add(NeverMatches, at, "", "the name of a service: no endpoint has an empty one")
		case len(described) > 0 && !described[share.Service]:
			r.add(Contradiction, at, share.Service, "a service that is listed in services")
		}
		twice := slices.ContainsFunc(route.Shares[:j], func(s directory.Share) bool { return s.Service == share.Service })
		r.require(!twice, Contradiction, at, share.Service, "a service that the split lists once")
	}
	r.require(total > 0, NeverMatches, path+".split", total, "a weight above 0: no service gets new flows")
}

func (r *report) adviseServices(d *directory.Desired) {
	used := make(map[string]bool)
	for _, route := range d.Routes {
		for _, share := range route.Shares {
			used[share.Service] = true
		}
	}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		r.require(used[s.Name], NeverMatches, path+".name", s.Name, "a service that a route names")
		twice := slices.ContainsFunc(d.Services[:i], func(other directory.Service) bool { return other.Name == s.Name })
		r.require(!twice, Contradiction, path+".name", s.Name, "a service that is listed once")
		r.require(s.ColdRate == 0 || s.ColdTime > 0, Contradiction, path+".cold-per-s", s.ColdRate, "0 while cold-start-s is 0: no endpoint is cold")
	}
}

// desiredChanges returns the differences between two desired states.
func desiredChanges(before, after *directory.Desired) []ticket.Change {
	var changes []ticket.Change
	value := func(part string, old, next any) {
		if old != next {
			changes = append(changes, ticket.Change{Action: ticket.Changed, Part: part, Before: fmt.Sprint(old), After: fmt.Sprint(next)})
		}
	}
	value("idle timeout", before.IdleTime, after.IdleTime)
	parts := func(kind string, old, next map[string]string) {
		for _, name := range slices.Sorted(maps.Keys(next)) {
			part := kind + " " + name
			if was, known := old[name]; !known {
				changes = append(changes, ticket.Change{Action: ticket.Added, Part: part, After: next[name]})
			} else {
				value(part, was, next[name])
			}
		}
		for _, name := range slices.Sorted(maps.Keys(old)) {
			if _, remains := next[name]; !remains {
				changes = append(changes, ticket.Change{Action: ticket.Removed, Part: kind + " " + name, Before: old[name]})
			}
		}
	}
	parts("route", routeTexts(before), routeTexts(after))
	parts("service", serviceTexts(before), serviceTexts(after))
	return changes
}

func routeTexts(d *directory.Desired) map[string]string {
	texts := make(map[string]string)
	for _, route := range d.Routes {
		var shares []string
		for _, s := range route.Shares {
			shares = append(shares, fmt.Sprintf("%s:%d", s.Service, s.Weight))
		}
		text := fmt.Sprintf("%s to %s", route.Name, strings.Join(shares, " "))
		if c := route.Class; c != nil {
			text += fmt.Sprintf(", priority %d, goal %v, limit %v, repeatable %t", c.Priority, c.Goal, c.Limit, c.Repeatable)
		}
		texts[route.Address.String()] = text
	}
	return texts
}

func serviceTexts(d *directory.Desired) map[string]string {
	texts := make(map[string]string)
	for _, s := range d.Services {
		texts[cmp.Or(s.Name, `""`)] = fmt.Sprintf("cold for %v, %v new flows a second meanwhile, %d connections", s.ColdTime, s.ColdRate, s.Connections)
	}
	return texts
}
