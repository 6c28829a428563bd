package metrics

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

func TestInstrumentsAreShown(t *testing.T) {
	r := New()
	r.Counter("steering.replies").Add(2)
	r.Counter("steering.replies").Add(1)
	r.Gauge("ticket.services", func() int64 { return 7 })
	r.Float("control.core_share", func() float64 { return 0.5 })
	response := httptest.NewRecorder()
	r.ServeHTTP(response, nil)
	var shown map[string]map[string]float64
	must.NoError(t, json.Unmarshal(response.Body.Bytes(), &shown))
	must.Eq(t, map[string]map[string]float64{
		"steering.replies":   {"count": 3},
		"ticket.services":    {"value": 7},
		"control.core_share": {"value": 0.5},
	}, shown)
}
