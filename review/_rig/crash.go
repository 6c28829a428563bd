package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// crashCase: the endpoints of a service crash one after the other, never two at a time, while
// clients wait for answers. Each starts again beside its agent, which goes on running.
func crashCase(g *rig, trouble bool) (int, string, error) {
	const (
		count   = 7 // endpoints of the service
		slots   = 2
		work    = 13 * time.Millisecond
		limit   = 500 * time.Millisecond // the clients' time limit
		retries = 2
		clients = 257 // a request a second each: the sheet's rate of status-feed
		every   = time.Second
		day     = 66 * time.Second
		crashAt = 500 * time.Millisecond
		downFor = 4500 * time.Millisecond
		gap     = 4600 * time.Millisecond // between two crashes
		allBack = crashAt + (count-1)*gap + downFor
	)
	route := netip.AddrPortFrom(netip.MustParseAddr(g.ip(routeHost)), 8080)
	g.desired(3, map[string]netip.AddrPort{"orders": route}, map[string]any{
		"type": "idempotent", "timeout-ms": limit.Milliseconds(), "goal-ms": 100, "priority": 2,
	})
	for _, host := range []int{balancerHost, balancerHost + 1} {
		if err := g.start(host, ""); err != nil {
			return notRun, "", err
		}
	}
	boot := func(host, n int) (*endpoint, error) {
		e, err := startEndpoint(fmt.Sprintf("i-%d-%d", host, n), "orders", time.Now(), slots, work, g.at(host, "app"), g.at(host, "outbound"), g.rec)
		if err != nil {
			return nil, err
		}
		g.rec.add("%s starts", e.id)
		g.store.put("servers/"+e.id, e.entry("a", "ready", 1))
		return e, nil
	}
	var endpoints []*endpoint
	for i := range count {
		e, err := boot(endpointHost+i, 1)
		if err != nil {
			return notRun, "", err
		}
		endpoints = append(endpoints, e)
		if err := g.start(endpointHost+i, "orders"); err != nil {
			return notRun, "", err
		}
	}
	if err := g.awaitReady(); err != nil {
		return notRun, "", err
	}
	time.Sleep(time.Second)
	c, err := newClient(netip.MustParseAddr(g.ip(clientHost)), g.at(clientHost, "datagram"), g.router, g.rec)
	if err != nil {
		return notRun, "", err
	}
	began := time.Now()
	var owed, served, owedLater, servedLater atomic.Int64
	var wait sync.WaitGroup
	for n := range clients {
		wait.Go(func() {
			time.Sleep(every * time.Duration(n) / clients)
			idle := make(chan *clientFlow, 1) // the client's flow, while no request uses it
			for i := 0; time.Since(began) < day; i++ {
				sentAt := time.Now()
				owed.Add(1)
				later := sentAt.Sub(began) > allBack
				if later {
					owedLater.Add(1)
				}
				wait.Go(func() {
					if !attempt(c, route, idle, fmt.Sprintf("feed-%d-%d", n, i), retries, limit) {
						return
					}
					served.Add(1)
					if later {
						servedLater.Add(1)
					}
				})
				time.Sleep(time.Until(sentAt.Add(every)))
			}
		})
	}
	time.Sleep(crashAt)
	if trouble {
		for i, e := range endpoints {
			e.exit()
			g.rec.add("%s crashes", e.id)
			time.AfterFunc(3600*time.Millisecond, func() { g.store.remove("servers/" + e.id) }) // three pings are missing
			time.AfterFunc(downFor, func() {
				if _, err := boot(endpointHost+i, 2); err != nil {
					g.rec.add("no start: %v", err)
				}
			})
			time.Sleep(gap)
		}
	}
	wait.Wait()
	share := float64(served.Load()) / float64(owed.Load())
	verdict := fmt.Sprintf("%.2f of %d requests served; of the %d sent after the return of all endpoints, %d served", share, owed.Load(), owedLater.Load(), servedLater.Load())
	if 4*servedLater.Load() < owedLater.Load() {
		return broken, "less than a quarter after the return: " + verdict, nil
	}
	return held, verdict, nil
}

// attempt makes a request on the client's flow or, while that is in use, on another, and repeats
// it on new flows. A flow is closed when its request is given up, or when another is idle.
func attempt(c *client, route netip.AddrPort, idle chan *clientFlow, id string, retries int, limit time.Duration) bool {
	var f *clientFlow
	select {
	case f = <-idle:
	default:
	}
	for try := 0; try <= retries; try++ {
		var err error
		if f == nil {
			if f, err = c.open(route); err != nil {
				f = nil
				continue
			}
		}
		if _, err = f.request(fmt.Sprint(id, "-", try), limit); err == nil {
			select {
			case idle <- f:
			default:
				f.close()
			}
			return true
		}
		f.close()
		f = nil
	}
	return false
}

func init() { cases["saturated"] = crashCase }
