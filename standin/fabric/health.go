package fabric

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	// unhealthyAfter is the number of consecutive failed probes after which a balancer is
	// unhealthy. One successful probe makes it healthy again.
	unhealthyAfter = 2
)

// probe checks the health of every balancer until the context ends. Like real fabrics, it
// reacts with a delay.
func (f *Fabric) probe(ctx context.Context) error {
	client := &http.Client{Timeout: probeTimeout}
	// failed holds the number of consecutive failed probes. Every balancer is unhealthy
	// until its first successful probe.
	failed := make([]int, len(f.balancers))
	for i := range failed {
		failed[i] = unhealthyAfter
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		f.probeAll(ctx, client, failed)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Fabric) probeAll(ctx context.Context, client *http.Client, failed []int) {
	var group errgroup.Group
	for i, balancer := range f.balancers {
		group.Go(func() error {
			failed[i]++
			if isHealthy(ctx, client, balancer.Health) {
				failed[i] = 0
			}
			return nil
		})
	}
	_ = group.Wait()
	var healthy []netip.AddrPort
	for i, balancer := range f.balancers {
		if failed[i] < unhealthyAfter {
			healthy = append(healthy, balancer.Edge)
		}
	}
	f.setHealthy(healthy)
}

func isHealthy(ctx context.Context, client *http.Client, address netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
