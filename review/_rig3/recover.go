package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// recoverCase: the final fault kills all processes of the system. After it the endpoints of the service
// crash once, for 4.5 s, on their machines, whose agents run on. Of the requests sent later than
// recovery-s after the machines were back, at least a quarter must be served.
func recoverCase(r *record, trouble bool) (broken []string, err error) {
	const (
		endpoints = 4
		slots     = 2
		work      = 250 * time.Millisecond
		limit     = 2 * time.Second
		usual     = 28 // requests a second; an endpoint can do 8
		killed    = 1500 * time.Millisecond
		pause     = 1500 * time.Millisecond
		down      = 4500 * time.Millisecond
		recovery  = 12 * time.Second
		after     = 40 * time.Second
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
	desired := func(version int) map[string]any {
		return map[string]any{
			"version": version, "routes": []any{route("confirm", at, "orders", "non_idempotent", 500*time.Millisecond, limit)},
			"services": []any{map[string]any{"name": "orders", "health-path": "/health", "max-conns": 2000}},
			"limits":   map[string]any{"idle-timeout-ms": 12000},
		}
	}
	if err := f.startAll(desired(3)); err != nil {
		return nil, err
	}
	c, err := newClient(netip.MustParseAddr("127.77.3.1"), f.edge, f.router, r)
	if err != nil {
		return nil, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	// phase is 0 before the final fault, 1 until recovery-s after the machines were back, then 2.
	phase := 0
	var sent, served [3]int
	request := func(id string, phase int, sentAt time.Time) {
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
			served[phase]++
			mu.Unlock()
		}
	}
	number := 0
	press := func(until time.Time) {
		for time.Now().Before(until) {
			number++
			sent[phase]++
			wait.Add(1)
			go request(fmt.Sprintf("confirm-%d", number), phase, time.Now())
			time.Sleep(time.Second / usual)
		}
	}
	pressFor := func(d time.Duration) { press(time.Now().Add(d)) }
	pressFor(4 * time.Second)
	phase = 1
	f.store.put("op/config", desired(7))
	back := time.Now().Add(killed)
	if trouble {
		r.add("a desired state was acknowledged; all processes are killed")
		for _, n := range f.nodes {
			_ = n.process.Process.Kill()
		}
		pressFor(killed)
		for _, n := range f.nodes {
			<-n.ended
			if err := n.start(false); err != nil {
				return nil, err
			}
		}
		back = time.Now()
		r.add("the machines are back")
		pressFor(pause)
		for _, e := range f.endpoints {
			e.end()
		}
		r.add("the endpoints crash")
		// Their entries are removed after three ping intervals of silence.
		time.AfterFunc(3600*time.Millisecond, func() {
			for _, e := range f.endpoints {
				f.store.remove("servers/" + e.name)
			}
		})
		pressFor(down)
		again := make([]*endpoint, len(f.endpoints))
		for i, e := range f.endpoints {
			if again[i], err = newEndpoint(e.name+"-again", e.service, e.address, e.outbound, slots, work, r); err != nil {
				return nil, err
			}
			f.store.put("servers/"+again[i].name, again[i].entry("a", "ready", 1))
		}
		r.add("the endpoints run again")
	}
	press(back.Add(recovery))
	phase = 2
	pressFor(after)
	wait.Wait()
	r.add("served %d of %d before the final fault, %d of %d until %v after the machines were back, %d of %d in the %v from then on",
		served[0], sent[0], served[1], sent[1], recovery, served[2], sent[2], after)
	if served[0]*4 >= sent[0] && served[2]*4 < sent[2] {
		broken = append(broken, fmt.Sprintf("RECOVER: from %v after the machines were back, %d of %d requests were served; before the final fault %d of %d", recovery, served[2], sent[2], served[0], sent[0]))
	}
	return broken, nil
}
