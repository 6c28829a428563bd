package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// The bound grace-s before the change, after a change to a whole number, and after one to a
// fraction, the disruption.
const (
	graceBefore   = 6
	graceWhole    = 7
	graceFraction = 6.5
)

// restartAttempts is how often the platform starts a process again that ends by itself.
const restartAttempts = 3

// settings changes the bound grace-s in the settings files of all machines and sends SIGHUP,
// and then stops and starts the machines in turn. If programs do not start any more, or no
// request is served after that, the rule Fault is broken.
func settings(c *cluster, trouble bool) (bool, error) {
	c.bounds["grace-s"] = graceBefore
	c.publish(2, map[string]string{ordersRoute: "orders"})
	if err := c.start(2, []string{"orders", "orders"}, 2, 13*time.Millisecond); err != nil {
		return false, err
	}
	before := serve(c, "before")
	grace := any(graceWhole)
	if trouble {
		grace = graceFraction
	}
	if err := c.changeSettings("grace-s", grace); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	changed := serve(c, "after the change")
	ended := 0
	for _, host := range []int{balancerHost, balancerHost + 1, endpointHost, endpointHost + 1} {
		n, err := c.restartSupervised(host)
		if err != nil {
			return false, err
		}
		ended += n
	}
	time.Sleep(3 * time.Second)
	after := serve(c, "after the restarts")
	c.record.say("served: before %d of %d, after the change %d, after the restarts %d; processes that ended by themselves at their start: %d",
		before, serveCount, changed, after, ended)
	if before == 0 || changed == 0 {
		return false, fmt.Errorf("the deployment did not serve before the restarts")
	}
	return ended > 0 || after == 0, nil
}

// restartSupervised stops a machine as planned and starts it again, as often as it ends by
// itself, and returns how often it did.
func (c *cluster) restartSupervised(host int) (ended int, err error) {
	c.record.line("process", "node-%d gets %v", host, syscall.SIGTERM)
	c.stop(host, syscall.SIGTERM)
	for range restartAttempts {
		time.Sleep(restartDelay)
		c.record.line("process", "node-%d starts again", host)
		if err := c.run(host, false); err != nil {
			return ended, err
		}
		daemon := c.daemon(host)
		select {
		case <-daemon.Ended():
			ended++
			c.record.line("process", "node-%d ended by itself, exit code %d", host, daemon.Wait())
		case <-time.After(time.Second):
			return ended, nil
		}
	}
	return ended, nil
}

const serveCount = 20

// serve makes serveCount requests on flows of their own, and returns how many were answered.
func serve(c *cluster, when string) (answered int) {
	for i := range serveCount {
		id := fmt.Sprintf("%s-%d", when, i)
		flow, err := c.caller.open(netip.MustParseAddrPort(ordersRoute))
		if err == nil {
			_, err = flow.request(id, time.Second)
		}
		c.record.line("caller", "%s: %v", id, err)
		if err == nil {
			answered++
		}
	}
	return answered
}
