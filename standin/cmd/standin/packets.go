package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"cactustray/standin/packets"

	"golang.org/x/sync/errgroup"
)

const (
	demoBalancers = 2
	demoEndpoints = 6
	// feedPause is the pause between two requests of a feed, feedTimeout the time limit of
	// a request.
	feedPause    = 50 * time.Millisecond
	feedTimeout  = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

type packetsCommand struct {
	Dir   string `arg:"" type:"existingdir" help:"Folder for the daemons' settings. The feeds end when a file named done appears in it."`
	Feeds int    `default:"20"`
}

// packetsDemo holds the running stand-ins of the packet roles and counts the feeds' results.
type packetsDemo struct {
	*packets.Deployment
	dir      string
	store    *packets.Store
	router   *packets.Router
	caller   *packets.Caller
	answered atomic.Int64
	broken   atomic.Int64
}

// Run writes the settings and prints a line for each daemon to start. Once the balancers are
// ready it opens the feeds, makes requests on them until the file done appears, and prints how
// many feeds broke.
func (c *packetsCommand) Run(ctx context.Context) error {
	d, release, err := packets.NewDeployment([2]byte{126, byte(os.Getpid())})
	if err != nil {
		return err
	}
	defer release()
	demo := &packetsDemo{Deployment: d, dir: c.Dir, store: packets.NewStore()}
	if err := demo.start(ctx); err != nil {
		return err
	}
	fmt.Println("started")
	demo.await(ctx, func() bool { return demo.router.Check() == demoBalancers })
	go demo.router.Run(ctx)
	var group sync.WaitGroup
	for i := range c.Feeds {
		group.Go(func() { demo.runFeed(ctx, i) })
	}
	group.Wait()
	fmt.Printf("feeds: %d, broken: %d, requests answered: %d\n", c.Feeds, demo.broken.Load(), demo.answered.Load())
	return nil
}

func (d *packetsDemo) start(ctx context.Context) error {
	packets.PublishRoutes(d.store, 1, map[netip.AddrPort]string{
		packets.OrdersAddress: "orders", packets.DrawingsAddress: packets.DrawingsService,
	})
	var edges, health []netip.AddrPort
	var hosts []int
	for i := range demoBalancers {
		host := packets.BalancerHost + i
		edges, health = append(edges, d.Address(host, "edge")), append(health, d.Address(host, "health"))
		hosts = append(hosts, host)
	}
	for i := range demoEndpoints {
		host := packets.EndpointHost + i
		if _, err := d.NewEndpointOn(host); err != nil {
			return err
		}
		d.Register(d.store, host, "ready", 1)
		hosts = append(hosts, host)
	}
	server := &http.Server{Addr: d.Address(packets.StoreHost, "store").String(), Handler: d.store}
	group, _ := errgroup.WithContext(ctx)
	group.Go(server.ListenAndServe)
	d.router = packets.NewRouter(edges, health)
	var err error
	if d.caller, err = packets.NewCaller(netip.MustParseAddr(d.IP(packets.CallerHost)), d.Address(packets.CallerHost, "edge"), d.router); err != nil {
		return err
	}
	return d.writeSettings(hosts)
}

func (d *packetsDemo) writeSettings(hosts []int) error {
	for _, host := range hosts {
		s := d.Settings(host)
		raw, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return err
		}
		file := filepath.Join(d.dir, fmt.Sprintf("%s-%d.json", s.Role, host))
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return err
		}
		fmt.Printf("daemon %s-%d %s\n", s.Role, host, file)
	}
	return nil
}

func (d *packetsDemo) await(ctx context.Context, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		time.Sleep(pollInterval)
	}
}

func (d *packetsDemo) done() bool {
	_, err := os.Stat(filepath.Join(d.dir, "done"))
	return err == nil
}

// runFeed opens a flow and makes requests on it until the demo is done or a request fails.
func (d *packetsDemo) runFeed(ctx context.Context, number int) {
	var feed *packets.Flow
	d.await(ctx, func() (opened bool) {
		flow, err := d.caller.Open(packets.OrdersAddress)
		feed = flow
		return err == nil
	})
	for i := 0; ctx.Err() == nil && !d.done(); i++ {
		if _, err := feed.Request(fmt.Sprintf("feed-%d-%d", number, i), feedTimeout); err != nil {
			d.broken.Add(1)
			return
		}
		d.answered.Add(1)
		time.Sleep(feedPause)
	}
}
