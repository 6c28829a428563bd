package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	ordersRoute    = "198.18.0.1:8080"
	drawingsRoute  = "198.18.0.2:443"
	movedFeeds     = 300
	movedBalancers = 2
	// rollGap is the pause between the stops of two machines.
	rollGap = 1000 * time.Millisecond
	// stableTime is longer than the bound stable-ms, 4 s.
	stableTime = 5 * time.Second
	// propagationTime is longer than the bound propagation-ms, 3 s.
	propagationTime = 3500 * time.Millisecond
)

// moved kills all balancers at the same moment (the disruption) and lets them start again.
// Later a desired state moves a route to another service, and the balancers are stopped and
// started in turn, three times. A reset that a caller gets on an open flow whose endpoint holds it
// breaks FLOW: the endpoints send none.
func moved(c *cluster, trouble bool) (bool, error) {
	c.publish(2, map[string]string{ordersRoute: "orders", drawingsRoute: "drawings"})
	if err := c.start(movedBalancers, []string{"orders", "orders", "orders", "orders", "drawings", "drawings"}, 2, 13*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := killBalancers(c); err != nil {
			return false, err
		}
	}
	time.Sleep(stableTime)
	feeds := newFeeds(c, movedFeeds)
	time.Sleep(2 * time.Second)
	c.publish(5, map[string]string{ordersRoute: "drawings", drawingsRoute: "drawings"})
	time.Sleep(propagationTime)
	if err := roll(c, 3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	feeds.end()
	c.record.say("feeds: %d, requests answered: %d, silent: %d, resets of open flows that the endpoint holds: %d",
		movedFeeds, feeds.answered.Load(), feeds.silent.Load(), feeds.resets.Load())
	return feeds.resets.Load() > 0, nil
}

func killBalancers(c *cluster) error {
	for _, host := range c.balancers {
		c.record.line("process", "node-%d gets %v", host, syscall.SIGKILL)
		_ = c.daemon(host).Signal(syscall.SIGKILL)
	}
	for _, host := range c.balancers {
		c.daemon(host).Wait()
	}
	time.Sleep(restartDelay)
	for _, host := range c.balancers {
		c.record.line("process", "node-%d starts again", host)
		if err := c.run(host, false); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// roll stops the balancers in turn and starts them again, as often as rounds says.
func roll(c *cluster, rounds int) error {
	for range rounds {
		var group errgroup.Group
		for _, host := range c.balancers {
			group.Go(func() error { return c.restart(host, syscall.SIGTERM) })
			time.Sleep(rollGap)
		}
		if err := group.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// feeds are callers that keep a flow open and send a request now and then.
type feeds struct {
	cluster                  *cluster
	done                     chan struct{}
	group                    sync.WaitGroup
	answered, silent, resets atomic.Int64
}

func newFeeds(c *cluster, count int) *feeds {
	f := &feeds{cluster: c, done: make(chan struct{})}
	for i := range count {
		f.group.Go(func() { f.run(i) })
	}
	return f
}

func (f *feeds) end() {
	close(f.done)
	f.group.Wait()
}

// run keeps one flow open until the end or its first failure.
func (f *feeds) run(number int) {
	c := f.cluster
	flow, err := c.caller.open(netip.MustParseAddrPort(ordersRoute))
	if err != nil {
		c.record.line("caller", "feed %d did not open: %v", number, err)
		return
	}
	for i := 0; ; i++ {
		id := fmt.Sprintf("feed-%d-%d", number, i)
		c.record.line("caller", "%s sent on %v", id, flow.key)
		endpoint, err := flow.request(id, 5*time.Second)
		switch err {
		case nil:
			f.answered.Add(1)
			c.record.line("caller", "%s answered by %s", id, endpoint)
		case errReset:
			f.recordReset(flow, id)
			return
		default:
			f.silent.Add(1)
			c.record.line("caller", "%s: %v", id, err)
			return
		}
		select {
		case <-f.done:
			return
		case <-time.After(1000*time.Millisecond + rand.N(3000*time.Millisecond)):
		}
	}
}

func (f *feeds) recordReset(flow *callerFlow, id string) {
	for _, e := range f.cluster.endpoints {
		if e.holds(flow.key) {
			f.resets.Add(1)
			f.cluster.record.line("broken", "%s: reset of an open flow that %s holds", id, e.name)
			return
		}
	}
	f.cluster.record.line("caller", "%s: reset of a flow that no endpoint holds", id)
}
