package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"cactustray/settings"
	"cactustray/standin/layout"
	"cactustray/standin/testcluster"

	"github.com/shoenig/test/must"
)

// exportedSpan is the part of an exported span that the test reads.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// spansOf reads the spans of a file. It skips lines that can't be decoded, since the
// last one may be incomplete.
func spansOf(t *testing.T, file string) []exportedSpan {
	opened, err := os.Open(file)
	must.NoError(t, err)
	defer opened.Close()
	var spans []exportedSpan
	scanner := bufio.NewScanner(opened)
	for scanner.Scan() {
		var s exportedSpan
		if json.Unmarshal(scanner.Bytes(), &s) == nil {
			spans = append(spans, s)
		}
	}
	return spans
}

// enableObservation changes the settings of a daemon that has not started yet: it writes
// traces of all flows to the returned file and serves metrics.
func enableObservation(t *testing.T, cluster *testcluster.Cluster, s *settings.Settings) (spans string) {
	spans = filepath.Join(cluster.Dir, s.Node+".spans")
	s.TraceFile = spans
	s.TraceShare = 1
	s.Metrics = freePort(t)
	raw, err := json.Marshal(s)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(cluster.Dir, s.Node+".json"), raw, 0o600))
	return spans
}

func freePort(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func fetch(client interface {
	Do(*http.Request) (*http.Response, error)
}, url string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testcluster.WaitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// A request is recorded in one trace that covers the balancer and the agent, and in the
// metrics of both.
func TestTracesAndMetrics(t *testing.T) {
	cluster := testcluster.New(t, layout.Size{Balancers: 1, Services: []string{"orders"}, Backends: 1})
	balancer := enableObservation(t, cluster, cluster.Balancers[0])
	agent := enableObservation(t, cluster, cluster.Backends[0].Settings)
	for _, name := range cluster.Names() {
		cluster.Run(name)
	}
	cluster.AwaitTicket("orders", 1)
	body, err := fetch(cluster.Caller(), cluster.URL("orders", "/drawing?work=1"))
	must.NoError(t, err)
	must.EqOp(t, "orders-1\n", body)

	trace := ""
	cluster.Await(func() bool {
		for _, s := range spansOf(t, balancer) {
			if s.Name == "balancer.forward" {
				trace = s.SpanContext.TraceID
			}
		}
		return trace != ""
	})
	cluster.Await(func() bool {
		names := make(map[string]bool)
		for _, s := range spansOf(t, agent) {
			names[s.Name] = names[s.Name] || s.SpanContext.TraceID == trace
		}
		return names["agent.request"] && names["agent.queue"] && names["agent.backend"]
	})
	counted := instrumentsOf(t, cluster.Balancers[0])
	must.Positive(t, counted["steering.packets.forwarded"]["value"])
	must.Positive(t, counted["steering.replies"]["value"])
	must.EqOp(t, 1, counted["event.1101"]["value"])
	counted = instrumentsOf(t, cluster.Backends[0].Settings)
	must.EqOp(t, 1, counted["admission.dispatched"]["count"])
	must.Positive(t, counted["control.bytes"]["value"])
}

func instrumentsOf(t *testing.T, s *settings.Settings) map[string]map[string]float64 {
	shown, err := fetch(http.DefaultClient, "http://"+s.Metrics.String()+"/metrics")
	must.NoError(t, err)
	var instruments map[string]map[string]float64
	must.NoError(t, json.Unmarshal([]byte(shown), &instruments))
	return instruments
}
