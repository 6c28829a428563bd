package main

import (
	"syscall"
	"time"
)

const (
	// historyRestarts is how often a balancer is restarted before the route moves.
	historyRestarts = 6
	// laterChange is when a desired state is published after a balancer has started, without
	// the disruption: all balancers have the older one then.
	laterChange = 1500 * time.Millisecond
)

// history restarts the balancers in turn. Each time the desired state changes, in the moment in
// which the balancer starts again (the disruption) or later; the changes leave the routes as they
// are. Then the work of the case moved follows: a route moves, and the balancers are stopped and
// started in turn, four times. A reset that a caller gets on an open flow that its endpoint holds
// breaks FLOW.
func history(c *cluster, trouble bool) (bool, error) {
	routes := map[string]string{ordersRoute: "orders", drawingsRoute: "drawings"}
	version := 2
	c.publish(version, routes)
	if err := c.start(movedBalancers, []string{"orders", "orders", "orders", "orders", "drawings", "drawings"}, 2, 13*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	feeds := newFeeds(c, movedFeeds)
	time.Sleep(2 * time.Second)
	for i := range historyRestarts {
		host := c.balancers[i%len(c.balancers)]
		c.record.line("process", "node-%d gets %v", host, syscall.SIGTERM)
		c.stop(host, syscall.SIGTERM)
		time.Sleep(restartDelay)
		version += 3
		if trouble {
			c.publish(version, routes)
		}
		c.record.line("process", "node-%d starts again", host)
		if err := c.run(host, false); err != nil {
			return false, err
		}
		time.Sleep(laterChange)
		if !trouble {
			c.publish(version, routes)
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.publish(version+3, map[string]string{ordersRoute: "drawings", drawingsRoute: "drawings"})
	time.Sleep(propagationTime)
	if err := roll(c, 4); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	feeds.end()
	c.record.say("feeds: %d, requests answered: %d, silent: %d, resets of open flows that the endpoint holds: %d",
		movedFeeds, feeds.answered.Load(), feeds.silent.Load(), feeds.resets.Load())
	return feeds.resets.Load() > 0, nil
}
