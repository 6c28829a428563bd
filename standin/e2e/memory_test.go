package e2e

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactustray/standin/layout"
	"cactustray/standin/spread"
	"cactustray/standin/testcluster"

	"github.com/shoenig/test/must"
)

// BenchmarkFullTable reports the resident memory, in MB, of a balancer process with
// 2,100 services of 11 endpoints each: as soon as it has all of them, and 20 s later.
func BenchmarkFullTable(b *testing.B) {
	const services, endpoints, settle = 2100, 11, 20 * time.Second
	cluster := testcluster.New(b, layout.Size{Balancers: 1})
	for i := range services {
		t := spread.Ticket(i, 1, 0, endpoints)
		raw, err := json.Marshal(t)
		must.NoError(b, err)
		cluster.Platform.Put(layout.Prefix+"tickets/"+t.Service, raw)
	}
	cluster.Run("entry-1")
	control := cluster.Balancers[0].Control
	cluster.Await(func() bool {
		response, err := cluster.Status(control)
		return err == nil && len(response.Tickets) == services
	})
	b.ReportMetric(resident(b, cluster.PID("entry-1")), "MB-first")
	time.Sleep(settle) // time between the two measurements
	b.ReportMetric(resident(b, cluster.PID("entry-1")), "MB-later")
}

// BenchmarkFlowMemory reports how much resident memory, in kB, an agent process needs
// for each open connection that has carried one request.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 500
	cluster := testcluster.Start(b, layout.Size{Balancers: 1, Services: []string{"drawings"}, Backends: 1})
	pid := cluster.PID(cluster.Backends[0].Name)
	openFlow := func() {
		request, err := http.NewRequest(http.MethodGet, cluster.URL("drawings", "/drawing?work=0"), nil)
		must.NoError(b, err)
		response, err := cluster.Caller().Do(request)
		must.NoError(b, err)
		_ = response.Body.Close()
	}
	openFlow()
	before := resident(b, pid)
	for range flows {
		openFlow()
	}
	b.ReportMetric((resident(b, pid)-before)*1024/flows, "kB/flow")
}

// resident returns the resident memory of a process, in MB.
func resident(b *testing.B, pid int) float64 {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	must.NoError(b, err)
	_, after, found := strings.Cut(string(raw), "VmRSS:")
	must.True(b, found)
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	must.NoError(b, err)
	return float64(kilobytes) / 1024
}
