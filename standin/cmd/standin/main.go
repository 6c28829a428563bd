// Standin runs stand-ins of the systems around the load balancer: the platform, the fabric,
// backend servers and callers. It also runs the soak test and the measurements.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cactustray/standin/backend"
	"cactustray/standin/caller"
	"cactustray/standin/fabric"
	"cactustray/standin/layout"
	"cactustray/standin/platform"

	"github.com/alecthomas/kong"
)

type cli struct {
	Layout   layoutCommand   `cmd:"" help:"Write settings, certificates and tickets of a small deployment."`
	Platform platformCommand `cmd:"" help:"Run the configuration service."`
	Publish  publishCommand  `cmd:"" help:"Write a value to the configuration service, as operators do."`
	Fabric   fabricCommand   `cmd:"" help:"Run the fabric."`
	Backend  backendCommand  `cmd:"" help:"Run a backend server."`
	Request  requestCommand  `cmd:"" help:"Send one request as a caller."`
	Feed     feedCommand     `cmd:"" help:"Read long-running feeds as callers and count those that break."`
	Packets  packetsCommand  `cmd:"" help:"Run the store, endpoints and callers of the packet roles, and count the feeds that break."`
	Soak     soakCommand     `cmd:"" help:"Inject random faults into the packet roles' real programs and check what callers and endpoints observe."`
	Measure  measureCommand  `cmd:"" help:"Run the measurements of the requirements in virtual time."`
}

func main() {
	var c cli
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed := kong.Parse(&c, kong.Name("standin"))
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}

type layoutCommand struct {
	Dir       string   `arg:"" type:"existingdir"`
	Balancers int      `default:"3"`
	Services  []string `default:"orders,drawings"`
	Backends  int      `default:"4"`
}

// Run writes the files and prints the addresses that scripts need.
func (c *layoutCommand) Run() error {
	d, err := layout.Write(c.Dir, layout.Size{Balancers: c.Balancers, Services: c.Services, Backends: c.Backends})
	if err != nil {
		return err
	}
	fmt.Printf("platform %s\n", d.Platform)
	for _, b := range d.Balancers {
		fmt.Printf("balancer %s %s\n", b.Node, b.Control)
	}
	for _, b := range d.Backends {
		fmt.Printf("backend %s %s %s\n", b.Name, b.Address, b.Settings.Control)
	}
	for _, service := range c.Services {
		fmt.Printf("service %s %s\n", service, d.Tickets[service].Address)
	}
	return nil
}

type platformCommand struct {
	Listen string `required:""`
	Limit  int    `help:"Calls answered a second; 0 means no limit."`
}

// Run serves until the process is stopped.
func (c *platformCommand) Run(ctx context.Context) error {
	service := platform.New()
	service.Limit = c.Limit
	return serve(ctx, c.Listen, service)
}

type backendCommand struct {
	Name   string `required:""`
	Listen string `required:""`
	Slots  int    `default:"4"`
}

// Run serves until the process is stopped.
func (c *backendCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, backend.New(c.Name, c.Slots).Handler())
}

func serve(ctx context.Context, listen string, handler http.Handler) error {
	server := &http.Server{Addr: listen, Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type publishCommand struct {
	Platform string `required:"" help:"The platform's IP:port."`
	Key      string `arg:""`
	File     string `arg:"" type:"existingfile"`
}

// Run writes the file's content as the key's value.
func (c *publishCommand) Run(ctx context.Context) error {
	value, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	url := "http://" + c.Platform + "/v1/kv/" + layout.Prefix + c.Key
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(value))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

type fabricCommand struct {
	Settings string `arg:"" type:"existingfile"`
}

// Run distributes callers' datagrams over the balancers until the process is stopped.
func (c *fabricCommand) Run(ctx context.Context) error {
	raw, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	var s fabric.Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	f, err := fabric.New(s)
	if err != nil {
		return err
	}
	return f.Run(ctx)
}

type requestCommand struct {
	CA      string        `required:"" type:"existingfile"`
	Method  string        `default:"GET"`
	Key     string        `help:"Idempotency-Key."`
	Timeout time.Duration `default:"10s"`
	URL     string        `arg:""`
}

// Run sends the request and prints the answer.
func (c *requestCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	from, err := caller.New(c.CA)
	if err != nil {
		return err
	}
	defer from.Close()
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, nil)
	if err != nil {
		return err
	}
	if c.Key != "" {
		request.Header.Set(backend.IdempotencyHeader, c.Key)
	}
	response, err := from.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	fmt.Printf("%d %s", response.StatusCode, body)
	return err
}

type feedCommand struct {
	CA       string        `required:"" type:"existingfile"`
	Count    int           `default:"10" help:"How many feeds, each from its own caller."`
	Lines    int           `default:"20"`
	Interval time.Duration `default:"100ms"`
	Timeout  time.Duration `default:"60s"`
	URL      string        `arg:"" help:"The service's URL; the feed's path is added."`
}

// Run reads all feeds and prints how many of them broke.
func (c *feedCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	url := fmt.Sprintf("%s/feed?lines=%d&interval=%d", c.URL, c.Lines, c.Interval.Milliseconds())
	results := make(chan bool)
	for range c.Count {
		go func() { results <- c.readFeed(ctx, url) }()
	}
	broken := 0
	for range c.Count {
		if !<-results {
			broken++
		}
	}
	fmt.Printf("feeds: %d, broken: %d\n", c.Count, broken)
	return nil
}

// readFeed reports whether a new caller receives all lines of a feed.
func (c *feedCommand) readFeed(ctx context.Context, url string) bool {
	from, err := caller.New(c.CA)
	if err != nil {
		return false
	}
	defer from.Close()
	lines, err := from.Feed(ctx, url)
	return err == nil && lines == c.Lines
}
