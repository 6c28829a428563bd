package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// clockCase: an endpoint starts while its machine's time of day is ahead, the time of day jumps
// back, and the agent beside it is restarted as planned. Flows that pause meanwhile go on later.
func clockCase(g *rig, trouble bool) (int, string, error) {
	const (
		ahead     = 2400 * time.Millisecond // the largest clock_step of the site files
		stable    = 4 * time.Second         // stable-ms
		pause     = 8 * time.Second         // of the clients, below idle-timeout-ms
		flowCount = 24
		added     = endpointHost + 2 // the machine that joins
	)
	route := netip.AddrPortFrom(netip.MustParseAddr(g.ip(routeHost)), 8080)
	g.desired(3, map[string]netip.AddrPort{"orders": route}, nil)
	endpoints := make(map[string]*endpoint)
	begin := func(host int, born time.Time) error {
		e, err := startEndpoint(fmt.Sprint("i-", host), "orders", born, 4, 15*time.Millisecond, g.at(host, "app"), g.at(host, "outbound"), g.rec)
		if err != nil {
			return err
		}
		endpoints[e.id] = e
		g.rec.add("%s starts, born %+d ms from now", e.id, time.Until(born).Milliseconds())
		g.store.put("servers/"+e.id, e.entry("a", "ready", 1))
		return g.start(host, "orders")
	}
	for _, host := range []int{balancerHost, balancerHost + 1} {
		if err := g.start(host, ""); err != nil {
			return notRun, "", err
		}
	}
	for _, host := range []int{endpointHost, endpointHost + 1} {
		if err := begin(host, time.Now()); err != nil {
			return notRun, "", err
		}
	}
	if err := g.awaitReady(); err != nil {
		return notRun, "", err
	}
	time.Sleep(time.Second)
	g.values["bootstrap"] = "false"

	// A machine joins. Its time of day is ahead; that shows in what its endpoint says of its start.
	born := time.Now()
	if trouble {
		born = born.Add(ahead)
	}
	if err := begin(added, born); err != nil {
		return notRun, "", err
	}
	time.Sleep(500 * time.Millisecond)
	c, err := newClient(netip.MustParseAddr(g.ip(clientHost)), g.at(clientHost, "datagram"), g.router, g.rec)
	if err != nil {
		return notRun, "", err
	}
	type open struct {
		flow   *clientFlow
		server string
	}
	var flows []open
	for i := range flowCount {
		f, err := c.open(route)
		if err != nil {
			return notRun, "", err
		}
		server, err := f.request(fmt.Sprint("first-", i), time.Second)
		if err != nil {
			return notRun, "", err
		}
		flows = append(flows, open{f, server})
	}
	// The time of day of the machine jumps back to the true time, where it was all along for the
	// daemon, whose clock this script cannot set. Then its agent is restarted as planned.
	jumped := time.Now()
	g.rec.add("the time of day of node-%d is right from here on", added)
	g.end(added, syscall.SIGTERM)
	if err := g.start(added, "orders"); err != nil {
		return notRun, "", err
	}
	restarted := time.Now()
	g.rec.add("the agent runs again %d ms after the endpoint's start", time.Since(born.Add(-map[bool]time.Duration{true: ahead}[trouble])).Milliseconds())
	time.Sleep(pause)
	if time.Since(jumped) < stable || time.Since(restarted) < stable {
		return notRun, "too early", nil
	}
	mine, resets, silent := 0, 0, 0
	for i, o := range flows {
		if o.server == fmt.Sprint("i-", added) {
			mine++
		}
		_, err := o.flow.request(fmt.Sprint("second-", i), 2*time.Second)
		e := endpoints[o.server]
		e.mu.Lock()
		own := e.resets[o.flow.key]
		e.mu.Unlock()
		switch {
		case err == errReset && own == 0:
			resets++
			g.rec.add("FLOW: %v is open at %s, which lives and sent no reset; its client got one, %d ms after the last disturbance",
				o.flow.key.client, o.server, time.Since(restarted).Milliseconds())
		case err != nil:
			silent++
		}
	}
	verdict := fmt.Sprintf("%d flows, %d of them at the endpoint that joined; %d reset that were open, %d without an answer", flowCount, mine, resets, silent)
	switch {
	case mine == 0:
		return notRun, verdict, nil
	case resets > 0:
		return broken, "FLOW is broken: " + verdict, nil
	}
	return held, verdict, nil
}

func init() { cases["7"] = clockCase }
