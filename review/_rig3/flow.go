package main

import (
	"fmt"
	"net/netip"
	"time"
)

// flowCase: agents are stopped and started in turn, each three times within five seconds; then the
// balancers. An open flow whose endpoint lives must not be reset by the system.
func flowCase(r *record, trouble bool) (broken []string, err error) {
	const (
		agents    = 11
		perWindow = 12
		windows   = 2
		rolled    = 9 // balancers
		limit     = 4 * time.Second
		flowTTL   = 60 * time.Second
	)
	f, err := newFleet(r, bounds{drainMs: 3000, graceS: 6, flowTTL: int(flowTTL.Seconds())})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	for _, zone := range []string{"a", "b", "b", "b", "b", "c", "c", "c", "c"} {
		f.addBalancer(zone)
	}
	for range agents {
		if _, _, err := f.addAgent("a", "orders", 4, 5*time.Millisecond); err != nil {
			return nil, err
		}
	}
	at := netip.MustParseAddrPort("127.77.100.1:443")
	if err := f.startAll(map[string]any{
		"version": 3, "routes": []any{route("confirm", at, "orders", "non_idempotent", time.Second, limit)},
		"services": []any{map[string]any{"name": "orders", "health-path": "/health", "max-conns": 2000}},
		"limits":   map[string]any{"idle-timeout-ms": 60000},
	}); err != nil {
		return nil, err
	}
	c, err := newClient(netip.MustParseAddr("127.77.3.1"), f.edge, f.router, r)
	if err != nil {
		return nil, err
	}
	var flows []*clientFlow
	restart := func(agent *node) error {
		if !trouble {
			return nil
		}
		return agent.restart()
	}
	for i, agent := range f.agents {
		for window := range windows {
			if err := restart(agent); err != nil {
				return nil, err
			}
			time.Sleep(600 * time.Millisecond)
			for j := range perWindow {
				id := fmt.Sprintf("first-%d-%d-%d", i, window, j)
				opened, _ := c.open(at)
				if opened == nil {
					r.add("flow of %s not opened", id)
					continue
				}
				end, _ := opened.request(id, limit)
				r.add("request %s on %s: %s", id, opened.key.client, end)
				if end == answered {
					flows = append(flows, opened)
				}
			}
		}
		if err := restart(agent); err != nil {
			return nil, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		for _, balancer := range f.balancers[:rolled] {
			if err := balancer.restart(); err != nil {
				return nil, err
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	if len(flows) < agents*windows*perWindow*9/10 {
		return nil, fmt.Errorf("%w: %d flows are open", errCannotRun, len(flows))
	}
	for i, opened := range flows {
		id := fmt.Sprintf("second-%d", i)
		end, _ := opened.request(id, limit)
		r.add("request %s on %s: %s", id, opened.key.client, end)
		if end != resetBy || time.Since(opened.openedAt) > flowTTL {
			continue // older flows may be discarded
		}
		for _, e := range f.endpoints {
			if e.holds(opened.key) {
				broken = append(broken, fmt.Sprintf("FLOW: the system reset flow %s, which is open at %s; request %s ran %d times", opened.key.client, e.name, id, len(r.runsOf(id))))
			}
		}
	}
	return broken, nil
}
