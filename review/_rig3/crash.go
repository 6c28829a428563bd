package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// crashCase: while many clients come at once, the endpoints of a service crash; 4.5 s later they run
// again on the same machines, whose agents ran on. At most 60% of the requests may fail.
func crashCase(r *record, trouble bool) (broken []string, err error) {
	const (
		endpoints = 4
		slots     = 2
		work      = 250 * time.Millisecond
		limit     = 2 * time.Second
		usual     = 24 // requests a second; an endpoint can do 8
		burstX    = 1.7
		burst     = 3 * time.Second
		down      = 4500 * time.Millisecond
		after     = 56 * time.Second
		retries   = 2
	)
	f, err := newFleet(r, bounds{drainMs: 3000, graceS: 6, flowTTL: 60})
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
		"version": 3, "routes": []any{route("confirm", at, "orders", "non_idempotent", 500*time.Millisecond, limit)},
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
	sent, served, servedAfter, sentAfter := 0, 0, 0, 0
	var runAgain time.Time
	request := func(id string, sentAt time.Time) {
		defer wait.Done()
		end := gaveUp
		for try := 0; try <= retries && time.Since(sentAt) < limit; try++ {
			var opened *clientFlow
			if opened, end = c.open(at); opened == nil {
				continue // the flow never opened: the client may try again
			}
			end, _ = opened.request(id, limit-time.Since(sentAt))
			opened.close()
			break
		}
		r.add("request %s: %s after %d ms", id, end, time.Since(sentAt).Milliseconds())
		if end == answered && time.Since(sentAt) < limit {
			mu.Lock()
			served++
			if !runAgain.IsZero() && sentAt.After(runAgain) {
				servedAfter++
			}
			mu.Unlock()
		}
	}
	press := func(rate float64, until time.Time) {
		for time.Now().Before(until) {
			sent++
			wait.Add(1)
			go request(fmt.Sprintf("confirm-%d", sent), time.Now())
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
	}
	press(usual, time.Now().Add(3*time.Second))
	if trouble {
		press(usual*burstX, time.Now().Add(burst))
		for _, e := range f.endpoints {
			e.end()
		}
		r.add("the endpoints crash")
		crashed := time.Now()
		// Their entries are removed after three ping intervals of silence.
		time.AfterFunc(3600*time.Millisecond, func() {
			for _, e := range f.endpoints {
				f.store.remove("servers/" + e.name)
			}
		})
		press(usual, crashed.Add(down))
		for i, e := range f.endpoints {
			again, err := newEndpoint(e.name+"-again", e.service, e.address, e.outbound, slots, work, r)
			if err != nil {
				return nil, err
			}
			f.store.put("servers/"+again.name, again.entry("a", "ready", 1))
			f.endpoints[i] = again
		}
		r.add("the endpoints run again")
	} else {
		press(usual, time.Now().Add(burst+down))
	}
	sentAfter = -sent
	mu.Lock()
	runAgain = time.Now()
	mu.Unlock()
	press(usual, time.Now().Add(after))
	sentAfter += sent
	wait.Wait()
	r.add("served %d of %d requests; of those sent after the endpoints ran again, %d of %d", served, sent, servedAfter, sentAfter)
	if failed := sent - served; failed*10 > sent*6 {
		broken = append(broken, fmt.Sprintf("Gate: %d of %d requests failed; of %d sent in the %v after the endpoints ran again, %d were served", failed, sent, sentAfter, after, servedAfter))
	}
	return broken, nil
}
