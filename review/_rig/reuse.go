package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"
)

// reuseCase: an endpoint falls silent for good together with its machine, and a machine of another
// service gets its address. The names of the two services have the same 16-bit tag.
func reuseCase(g *rig, trouble bool) (int, string, error) {
	const (
		mine, other = "portal-owners", "portal-storage"
		own         = 7
		others      = 3
		slots       = 2
		work        = 17 * time.Millisecond
		limit       = 600 * time.Millisecond
		addrReuse   = 2 * time.Second // addr-reuse-s
		perSecond   = 80
		gone        = endpointHost
	)
	ports := map[string]netip.AddrPort{
		mine:  netip.AddrPortFrom(netip.MustParseAddr(g.ip(routeHost)), 8080),
		other: netip.AddrPortFrom(netip.MustParseAddr(g.ip(routeHost)), 8081),
	}
	g.desired(3, ports, map[string]any{"type": "non_idempotent", "timeout-ms": limit.Milliseconds(), "goal-ms": 120, "priority": 1})
	for _, host := range []int{balancerHost, balancerHost + 1} {
		if err := g.start(host, ""); err != nil {
			return notRun, "", err
		}
	}
	var endpoints []*endpoint
	boot := func(host int, id, service string) (*endpoint, error) {
		e, err := startEndpoint(id, service, time.Now(), slots, work, g.at(host, "app"), g.at(host, "outbound"), g.rec)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
		g.rec.add("%s of %s starts at %v", e.id, service, g.at(host, "app"))
		return e, g.start(host, service)
	}
	for i := range own + others {
		service := mine
		if i >= own {
			service = other
		}
		e, err := boot(endpointHost+i, fmt.Sprint("i-", endpointHost+i), service)
		if err != nil {
			return notRun, "", err
		}
		g.store.put("servers/"+e.id, e.entry("a", "ready", 1))
	}
	if err := g.awaitReady(); err != nil {
		return notRun, "", err
	}
	time.Sleep(time.Second)
	g.values["bootstrap"] = "false"
	c, err := newClient(netip.MustParseAddr(g.ip(clientHost)), g.at(clientHost, "datagram"), g.router, g.rec)
	if err != nil {
		return notRun, "", err
	}
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for service, route := range ports {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second / perSecond):
				}
				wait.Go(func() {
					if f, err := c.open(route); err == nil {
						_, _ = f.request(fmt.Sprintf("%s-%d", service, n), limit)
						f.close()
					}
				})
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		endpoints[0].exit()
		g.rec.add("%s crashes for good, and its machine is gone", endpoints[0].id)
		g.end(gone, syscall.SIGKILL)
		left := endpoints[0].id
		time.AfterFunc(3600*time.Millisecond, func() { g.store.remove("servers/" + left) }) // three pings are missing
		time.Sleep(addrReuse + 500*time.Millisecond)
		e, err := boot(gone, "i-new", other)
		if err != nil {
			return notRun, "", err
		}
		time.Sleep(300 * time.Millisecond)
		g.store.put("servers/"+e.id, e.entry("a", "ready", 1))
		g.rec.add("%s has registered", e.id)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wait.Wait()
	foreign, runs := 0, 0
	for _, e := range endpoints {
		e.mu.Lock()
		for id := range e.runs {
			runs++
			if !strings.HasPrefix(id, e.service) {
				foreign++
				g.rec.add("ROUTE: %s of %s has run %s", e.id, e.service, id)
			}
		}
		e.mu.Unlock()
	}
	verdict := fmt.Sprintf("%d requests run, %d of them by a service to which no desired state sends them", runs, foreign)
	if foreign > 0 {
		return broken, "ROUTE is broken: " + verdict, nil
	}
	return held, verdict, nil
}

func init() { cases["9"] = reuseCase }
