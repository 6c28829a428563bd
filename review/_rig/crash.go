package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// crashCase: the endpoints of a small service crash while clients wait for answers, and start again
// beside their agents, which go on running.
func crashCase(g *rig, trouble bool) (int, string, error) {
	const (
		others  = 11 // endpoints of the other service
		crashed = 2
		slots   = 2
		work    = 13 * time.Millisecond
		limit   = 500 * time.Millisecond // the clients' time limit
		retries = 2
		clients = 30
		every   = time.Second
		day     = 34 * time.Second
		crashAt = 4 * time.Second
		downFor = 4500 * time.Millisecond
		floor   = 0.47 // floor_classes of the site's days
		// mostFailed is the share of requests that may be refused or fail.
		mostFailed = 0.6
	)
	route := netip.AddrPortFrom(netip.MustParseAddr(g.ip(routeHost)), 8080)
	g.desired(3, map[string]netip.AddrPort{"drawings": netip.AddrPortFrom(route.Addr(), 8081), "orders": route}, map[string]any{
		"type": "idempotent", "timeout-ms": limit.Milliseconds(), "goal-ms": 100, "priority": 2,
	})
	for _, host := range []int{balancerHost, balancerHost + 1} {
		if err := g.start(host, ""); err != nil {
			return notRun, "", err
		}
	}
	endpoints := make(map[int]*endpoint)
	boot := func(host, n int, service string) error {
		e, err := startEndpoint(fmt.Sprintf("i-%d-%d", host, n), service, time.Now(), slots, work, g.at(host, "app"), g.at(host, "outbound"), g.rec)
		if err != nil {
			return err
		}
		if service == "orders" && n == 1 {
			endpoints[host] = e
		}
		g.rec.add("%s starts", e.id)
		g.store.put("servers/"+e.id, e.entry("a", "ready", 1))
		return nil
	}
	for i := range others + crashed {
		host, service := endpointHost+i, "drawings"
		if i >= others {
			service = "orders"
		}
		if err := boot(host, 1, service); err != nil {
			return notRun, "", err
		}
		if err := g.start(host, service); err != nil {
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
			var f *clientFlow
			for i := 0; time.Since(began) < day; i++ {
				sentAt := time.Now()
				later := sentAt.Sub(began) > crashAt+downFor
				ok := false
				for try := 0; try <= retries && !ok; try++ {
					var err error
					if f == nil {
						if f, err = c.open(route); err != nil {
							f = nil
							continue
						}
					}
					_, err = f.request(fmt.Sprintf("feed-%d-%d-%d", n, i, try), limit)
					ok = err == nil
					if !ok {
						f.close() // the client gives up, and closes the flow
						f = nil
					}
				}
				owed.Add(1)
				if ok {
					served.Add(1)
				}
				if later {
					owedLater.Add(1)
					if ok {
						servedLater.Add(1)
					}
				}
				time.Sleep(time.Until(sentAt.Add(every)))
			}
		})
	}
	time.Sleep(crashAt)
	if trouble {
		for host, e := range endpoints {
			e.exit()
			g.rec.add("%s crashes", e.id)
			time.AfterFunc(3600*time.Millisecond, func() { g.store.remove("servers/" + e.id) }) // three pings are missing
			time.AfterFunc(downFor, func() {
				if err := boot(host, 2, "orders"); err != nil {
					g.rec.add("no start: %v", err)
				}
			})
		}
	}
	wait.Wait()
	back := "never again"
	for time.Since(began) < 95*time.Second {
		f, err := c.open(route)
		if err == nil {
			_, err = f.request(fmt.Sprint("probe-", time.Since(began).Milliseconds()), limit)
			f.close()
		}
		if err == nil {
			back = fmt.Sprintf("%.1f s after the endpoints' return", (time.Since(began) - crashAt - downFor).Seconds())
			break
		}
	}
	share := float64(served.Load()) / float64(owed.Load())
	verdict := fmt.Sprintf("%.2f of %d requests served; of the %d sent after the endpoints' return, %d served", share, owed.Load(), owedLater.Load(), servedLater.Load())
	if share < floor && 1-share > mostFailed {
		return broken, fmt.Sprintf("the gate fails (floor %.2f, at most %.2f failed): %s; the next request was served %s", floor, mostFailed, verdict, back), nil
	}
	return held, verdict, nil
}

func init() { cases["8"] = crashCase }
