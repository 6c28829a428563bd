package main

import (
	"syscall"
	"time"
)

// The bound flow-ttl-s before and after the change of the settings, the disruption.
const (
	lifetimeBefore = 60
	lifetimeAfter  = 120
	lifetimeFeeds  = 60
	// moveToRoll is the time between the move of the route and the restart of the balancers:
	// longer than the earlier lifetime, shorter than the later one.
	moveToRoll = (lifetimeBefore + 4) * time.Second
)

// lifetime raises the bound flow-ttl-s in the settings files of all machines and sends SIGHUP.
// A desired state then moves a route to another service, and later the balancers are stopped
// and started in turn. A reset that a caller gets on an open flow that its endpoint holds, and
// that is younger than the bound, breaks FLOW.
func lifetime(c *cluster, trouble bool) (bool, error) {
	c.bounds["flow-ttl-s"] = lifetimeAfter
	if trouble {
		c.bounds["flow-ttl-s"] = lifetimeBefore
	}
	c.publish(2, map[string]string{ordersRoute: "orders", drawingsRoute: "drawings"})
	if err := c.start(movedBalancers, []string{"orders", "orders", "orders", "orders", "drawings", "drawings"}, 2, 13*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		if err := c.changeSettings("flow-ttl-s", lifetimeAfter); err != nil {
			return false, err
		}
	}
	time.Sleep(stableTime)
	feeds := newFeeds(c, lifetimeFeeds)
	time.Sleep(2 * time.Second)
	c.publish(5, map[string]string{ordersRoute: "drawings", drawingsRoute: "drawings"})
	time.Sleep(moveToRoll)
	for _, host := range c.balancers {
		if err := c.restart(host, syscall.SIGTERM); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	feeds.end()
	c.record.say("feeds: %d, requests answered: %d, silent: %d, resets of open flows that the endpoint holds: %d",
		lifetimeFeeds, feeds.answered.Load(), feeds.silent.Load(), feeds.resets.Load())
	return feeds.resets.Load() > 0, nil
}

// changeSettings changes a bound in the settings files of all machines and sends SIGHUP.
func (c *cluster) changeSettings(bound string, value any) error {
	c.bounds[bound] = value
	hosts := append([]int(nil), c.balancers...)
	for host := range c.endpoints {
		hosts = append(hosts, host)
	}
	for _, host := range hosts {
		if _, err := c.writeSettings(host, false); err != nil {
			return err
		}
		c.record.line("process", "node-%d: %s is now %v; gets %v", host, bound, value, syscall.SIGHUP)
		_ = c.daemon(host).Signal(syscall.SIGHUP)
	}
	return nil
}
