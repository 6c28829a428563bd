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
	"cactustray/standin/fleet"
	"cactustray/standin/layout"

	"github.com/shoenig/test/must"
)

// span is what the test reads of an exported span.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// spansOf reads a file of spans; the last one may be half written.
func spansOf(t *testing.T, file string) []span {
	opened, err := os.Open(file)
	must.NoError(t, err)
	defer opened.Close()
	var spans []span
	scanner := bufio.NewScanner(opened)
	for scanner.Scan() {
		var s span
		if json.Unmarshal(scanner.Bytes(), &s) == nil {
			spans = append(spans, s)
		}
	}
	return spans
}

// observed changes a daemon's settings before it starts: all flows are traced
// into a file, and metrics are shown.
func observed(t *testing.T, f *fleet.Fleet, s *settings.Settings) (spans string) {
	spans = filepath.Join(f.Dir, s.Node+".spans")
	s.TraceFile = spans
	s.TraceShare = 1
	s.Metrics = freePort(t)
	raw, err := json.Marshal(s)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(f.Dir, s.Node+".json"), raw, 0o600))
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
	ctx, cancel := context.WithTimeout(context.Background(), fleet.Patience)
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

// One request leaves one trace over the balancer and the agent, and is counted.
func TestTracesAndMetrics(t *testing.T) {
	f := fleet.New(t, layout.Size{Balancers: 1, Services: []string{"orders"}, Backends: 1})
	balancer := observed(t, f, f.Balancers[0])
	agent := observed(t, f, f.Backends[0].Settings)
	for _, name := range f.Names() {
		f.Run(name)
	}
	f.AwaitTicket("orders", 1)
	body, err := fetch(f.Caller(), f.URL("orders", "/drawing?work=1"))
	must.NoError(t, err)
	must.EqOp(t, "orders-1\n", body)

	trace := ""
	f.Await(func() bool {
		for _, s := range spansOf(t, balancer) {
			if s.Name == "balancer.forward" {
				trace = s.SpanContext.TraceID
			}
		}
		return trace != ""
	})
	f.Await(func() bool {
		names := make(map[string]bool)
		for _, s := range spansOf(t, agent) {
			names[s.Name] = names[s.Name] || s.SpanContext.TraceID == trace
		}
		return names["agent.request"] && names["agent.queue"] && names["agent.backend"]
	})
	counted := instrumentsOf(t, f.Balancers[0])
	must.Positive(t, counted["steering.packets.forwarded"]["value"])
	must.Positive(t, counted["steering.replies"]["value"])
	must.EqOp(t, 1, counted["event.1101"]["value"])
	counted = instrumentsOf(t, f.Backends[0].Settings)
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
