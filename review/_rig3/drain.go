package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// drainCase: a service is emptied, first down to two endpoints, then the last two. No opening packet
// may reach an endpoint later than drain-ms after the store acknowledged that it drains.
func drainCase(r *record, trouble bool) (broken []string, err error) {
	const (
		drain     = 3 * time.Second
		longer    = 400 * time.Millisecond
		slots     = 2
		work      = 250 * time.Millisecond
		limit     = 4 * time.Second
		endpoints = 6
		remaining = 2
		usual     = 36 // requests a second; an endpoint can do 8
	)
	f, err := newFleet(r, bounds{drainMs: int(drain.Milliseconds()), graceS: 6, flowTTL: 60})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	for _, zone := range []string{"a", "b", "c"} {
		f.addBalancer(zone)
	}
	for range endpoints {
		if _, _, err := f.addAgent("a", "orders", slots, work); err != nil {
			return nil, err
		}
	}
	at := netip.MustParseAddrPort("127.77.100.1:443")
	if err := f.startAll(map[string]any{
		"version": 3, "routes": []any{route("confirm", at, "orders", "non_idempotent", 2*time.Second, limit)},
		"services": []any{map[string]any{"name": "orders", "health-path": "/health", "max-conns": 2000}},
		"limits":   map[string]any{"idle-timeout-ms": 12000},
	}); err != nil {
		return nil, err
	}
	c, err := newClient(netip.MustParseAddr("127.77.3.1"), f.edge, f.router, r)
	if err != nil {
		return nil, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	ids := make(map[netip.AddrPort]string)
	lost := make(map[string]bool)
	request := func(id string) {
		defer wait.Done()
		opened, end := c.open(at)
		if opened == nil {
			r.add("request %s: not opened, %s", id, end)
			return
		}
		mu.Lock()
		ids[opened.key.client] = id
		mu.Unlock()
		end, _ = opened.request(id, limit)
		r.add("request %s on %s: %s", id, opened.key.client, end)
		if end == answered {
			opened.close()
			return
		}
		mu.Lock()
		lost[id] = true
		mu.Unlock()
	}
	sent := 0
	press := func(until time.Time) {
		for time.Now().Before(until) {
			sent++
			wait.Add(1)
			go request(fmt.Sprintf("confirm-%d", sent))
			time.Sleep(time.Second / usual)
		}
	}
	// drainAll drains endpoints. They serve for drain-ms and a little longer, and exit.
	drainAll := func(endpoints []*endpoint) time.Time {
		acknowledged := time.Now()
		for _, e := range endpoints {
			f.store.put("servers/"+e.name, e.entry("a", "draining", 2))
			e.mu.Lock()
			e.draining = time.Now()
			e.mu.Unlock()
			r.add("the store has acknowledged that %s drains", e.name)
			time.AfterFunc(drain+longer, func() {
				r.add("%s exits", e.name)
				e.end()
				f.store.remove("servers/" + e.name)
			})
		}
		return acknowledged
	}
	press(time.Now().Add(2 * time.Second))
	if trouble {
		press(drainAll(f.endpoints[remaining:]).Add(drain + time.Second))
		press(drainAll(f.endpoints[:remaining]).Add(drain))
	} else {
		press(time.Now().Add(2*drain + time.Second))
	}
	wait.Wait()
	for _, e := range f.endpoints {
		for _, a := range e.arrivals {
			if a.after <= drain {
				continue
			}
			mu.Lock()
			id := ids[a.client]
			broken = append(broken, fmt.Sprintf("DRAIN: request %s (flow %s) reached %s %d ms after the ack; run by %v, never answered: %v", id, a.client, e.name, a.after.Milliseconds(), r.runsOf(id), lost[id]))
			mu.Unlock()
		}
	}
	return broken, nil
}
