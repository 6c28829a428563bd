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
	// unhealthyAfter is how many failed probes in a row it takes to leave a
	// balancer out; one good probe takes it in.
	unhealthyAfter = 2
)

// probe asks every balancer for its health until the context ends. As real
// fabrics do, it reacts after a delay.
func (f *Fabric) probe(ctx context.Context) error {
	client := &http.Client{Timeout: probeTimeout}
	// failed counts failed probes in a row; nobody is trusted before a good
	// one.
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
	f.sprayOver(healthy)
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
