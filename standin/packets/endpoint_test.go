package packets

import (
	"fmt"
	"net/netip"
	"os/exec"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// An endpoint is replaced at its address while processes that hold copies of its socket start.
func TestEndpointIsReplacedWhileProcessesStart(t *testing.T) {
	t.Parallel()
	const starters, boots = 4, 3000
	done := make(chan struct{})
	var started sync.WaitGroup
	for range starters {
		started.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	defer started.Wait()
	defer close(done)
	endpoint, err := NewEndpoint("i-50-0", "orders", netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:1"))
	must.NoError(t, err)
	at := endpoint.Address()
	for boot := range boots {
		endpoint, err = endpoint.Replace(fmt.Sprintf("i-50-%d", boot+1), "orders")
		must.NoError(t, err)
		must.EqOp(t, at, endpoint.Address())
	}
	endpoint.Close()
	<-endpoint.served
}
