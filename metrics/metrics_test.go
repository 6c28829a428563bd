package metrics

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestServeJSON(t *testing.T) {
	r := New()
	r.Counter("steering.replies").Add(2)
	r.Counter("steering.replies").Add(1)
	r.GaugeFunc("ticket.services", func() int64 { return 7 })
	r.FloatGaugeFunc("control.core_share", func() float64 { return 0.5 })
	response := httptest.NewRecorder()
	r.ServeHTTP(response, httptest.NewRequest(http.MethodGet, Path, nil))
	var shown map[string]map[string]float64
	must.NoError(t, json.Unmarshal(response.Body.Bytes(), &shown))
	must.Eq(t, map[string]map[string]float64{
		"steering.replies":   {"count": 3},
		"ticket.services":    {"value": 7},
		"control.core_share": {"value": 0.5},
	}, shown)
}

// Collectors request the text format, which has names without dots and durations in
// seconds.
func TestServePrometheusText(t *testing.T) {
	r := New()
	r.Counter("steering.replies").Add(3)
	r.GaugeFunc("packets.not-held", func() int64 { return 7 })
	r.FloatGaugeFunc("control.core_share", func() float64 { return 0.5 })
	timer := NewTimer()
	timer.Observe(2 * time.Second)
	r.RegisterTimer("requests.answer", timer)
	request := httptest.NewRequest(http.MethodGet, Path, nil)
	request.Header.Set("Accept", "application/openmetrics-text;version=1.0.0,text/plain;version=0.0.4;q=0.5")
	response := httptest.NewRecorder()
	r.ServeHTTP(response, request)
	must.StrHasPrefix(t, "text/plain", response.Header().Get("Content-Type"))
	for _, line := range []string{
		"# TYPE cactustray_steering_replies counter", "cactustray_steering_replies 3",
		"cactustray_packets_not_held 7", "cactustray_control_core_share 0.5",
		"cactustray_requests_answer_seconds{quantile=\"0.99\"} 2",
		"cactustray_requests_answer_seconds_sum 2", "cactustray_requests_answer_seconds_count 1",
	} {
		must.StrContains(t, response.Body.String(), line+"\n")
	}
}
