package check

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"cactustray/platform"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed and number of generated configurations; flags override both.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	goodTicket = `{"number":2,"service":"orders","address":"198.18.0.1:443",
"endpoints":[{"name":"a","zone":"fd-1","datagram":"10.0.0.1:7000","control":"10.0.0.1:7001","weight":100},
{"name":"b","zone":"fd-2","datagram":"10.0.0.2:7000","control":"10.0.0.2:7001","weight":100}],
"limits":{"slots":4,"connections":100,"queue_ms":2000,"drain_s":30},
"feeds":["/feed"],
"idempotent":["/drawing"]}`
	goodDesired = `{"version":7,
"routes":[{"name":"r1","host":"198.18.0.1","prefix":"/8080/","service":"orders","type":"idempotent","goal-ms":300,"timeout-ms":1500,"priority":1},
{"name":"r2","host":"198.18.0.1","prefix":"/443/","split":[{"service":"orders","weight":90},{"service":"drawings","weight":10}]}],
"services":[{"name":"orders","cold-start-s":2,"cold-per-s":5,"max-conns":2000},
{"name":"drawings"}],
"limits":{"idle-timeout-ms":15000}}`
)

func TestGoodDocumentsHaveNoFindings(t *testing.T) {
	for _, text := range []string{goodTicket, goodDesired, `{"number":3,"service":"orders","removed":true}`} {
		r, err := Check(File{"f", []byte(text)}, &File{"g", []byte(text)})
		must.NoError(t, err)
		must.SliceEmpty(t, r.Findings)
		must.SliceEmpty(t, r.Changes)
	}
}

// Each case makes one replacement in a good document; the check must name the field, its
// line and the effect, and nothing else.
func TestBadInputs(t *testing.T) {
	cases := []struct {
		good, old, new string
		field          string
		line           int
		effect         Effect
	}{
		{goodTicket, `"number":2`, `"number":0`, "number", 1, Refused},
		{goodTicket, `"slots":4`, `"slots":9999`, "limits.slots", 4, Refused},
		{goodTicket, `"slots":4`, `"slots":"4"`, "limits.slots", 4, Refused},
		{goodTicket, `"slots":4`, `"slots":4,"slot":4`, "limits.slot", 4, Refused},
		{goodTicket, `"name":"b"`, `"name":"a"`, "endpoints[1].name", 3, Refused},
		{goodTicket, `"weight":100},`, `"weight":0},`, "endpoints[0].weight", 2, Refused},
		{goodTicket, `10.0.0.2:7000`, `10.0.0.1:7000`, "endpoints[1].datagram", 3, Contradiction},
		{goodTicket, `10.0.0.2:7001`, `10.0.0.1:7001`, "endpoints[1].control", 3, Contradiction},
		{goodTicket, `"drain_s":30`, `"drain_s":1`, "limits.queue_ms", 4, Contradiction},
		{goodTicket, `["/drawing"]`, `["/feed/old"]`, "idempotent[0]", 6, NeverMatches},
		{goodTicket, `["/drawing"]`, `["/drawing","/drawing/small"]`, "idempotent[1]", 6, NeverMatches},
		{goodTicket, `["/feed"]`, `["/feed","/feed"]`, "feeds[1]", 5, NeverMatches},
		{goodTicket, `["/feed"]`, `["feed"]`, "feeds[0]", 5, NeverMatches},
		{goodDesired, `"version":7`, `"version":0`, "version", 1, Refused},
		{goodDesired, `"priority":1`, `"priority":"1"`, "document", 2, Refused},
		{goodDesired, `"host":"198.18.0.1","prefix":"/443/"`, `"host":"orders","prefix":"/443/"`, "routes[1].host", 3, Refused},
		{goodDesired, `/443/`, `/https/`, "routes[1].prefix", 3, Refused},
		{goodDesired, `/443/`, `/0/`, "routes[1].prefix", 3, NeverMatches},
		{goodDesired, `/443/`, `/8080/`, "routes[0]", 2, NeverMatches},
		{goodDesired, `"host":"198.18.0.1","prefix":"/443/"`, `"host":"::1","prefix":"/443/"`, "routes[1].host", 3, NeverMatches},
		{goodDesired, `"weight":90},{"service":"drawings","weight":10}`, `"weight":0},{"service":"drawings","weight":0}`, "routes[1].split", 3, NeverMatches},
		{goodDesired, `"split":[`, `"service":"charts","split":[`, "routes[1].service", 3, Ignored},
		{goodDesired, `"weight":10}]`, `"weight":10},{"service":"orders","weight":1}]`, "routes[1].split[2].service", 3, Contradiction},
		{goodDesired, `{"name":"drawings"}`, `{"name":"drawings"},{"name":"charts"}`, "services[2].name", 5, NeverMatches},
		{goodDesired, `{"name":"drawings"}`, `{"name":"drawings"},{"name":"drawings"}`, "services[2].name", 5, Contradiction},
		{goodDesired, `"service":"orders","type"`, `"service":"order","type"`, "routes[0].service", 2, Contradiction},
		{goodDesired, `"cold-start-s":2`, `"cold-start-s":-2`, "services[0].cold-start-s", 4, Refused},
		{goodDesired, `"cold-per-s":5`, `"cold-per-s":-0.5`, "services[0].cold-per-s", 4, Refused},
		{goodDesired, `"cold-start-s":2`, `"cold-start-s":0`, "services[0].cold-per-s", 4, Contradiction},
		{goodDesired, `"goal-ms":300`, `"goal-ms":1501`, "routes[0].goal-ms", 2, Contradiction},
		{goodDesired, `"goal-ms":300`, `"goal-ms":-1`, "routes[0].goal-ms", 2, Ignored},
		{goodDesired, `"timeout-ms":1500`, `"timeout-ms":0`, "routes[0].timeout-ms", 2, Ignored},
		{goodDesired, `"timeout-ms":1500`, `"timeout-ms":15001`, "routes[0].timeout-ms", 2, Contradiction},
		{goodDesired, `"priority":1`, `"priority":1.5`, "routes[0].priority", 2, Ignored},
		{goodDesired, `"type":"idempotent"`, `"type":"repeatable"`, "routes[0].type", 2, Ignored},
		{goodDesired, `"idle-timeout-ms":15000`, `"idle-timeout-ms":-1`, "limits.idle-timeout-ms", 6, Contradiction},
	}
	for _, c := range cases {
		name := c.old + " to " + c.new
		must.StrContains(t, c.good, c.old)
		r, err := Check(File{"f", []byte(strings.Replace(c.good, c.old, c.new, 1))}, nil)
		must.NoError(t, err, must.Sprint(name))
		must.SliceLen(t, 1, r.Findings, must.Sprint(name, r.Findings))
		f := r.Findings[0]
		must.Eq(t, Finding{File: "f", Line: c.line, Field: c.field, Effect: c.effect, Value: f.Value, Allowed: f.Allowed}, f, must.Sprint(name))
		must.NotEq(t, "", f.Allowed)
	}
}

func TestUnreadableDocuments(t *testing.T) {
	for text, line := range map[string]int{"": 1, "[]": 1, "{}": 1, "{\n\"version\":}": 2, `{"version":1,"service":"s"}`: 1} {
		_, err := Check(File{"f", []byte(text)}, nil)
		var unreadable *UnreadableError
		must.True(t, errors.As(err, &unreadable), must.Sprint(text))
		must.EqOp(t, line, unreadable.Line, must.Sprint(text))
	}
	_, err := Check(File{"f", []byte(goodTicket)}, &File{"g", []byte(goodDesired)})
	must.Error(t, err)
}

// A version that is not above the one in force would change nothing, or leave nodes with
// different contents.
func TestComparisonWithVersionInForce(t *testing.T) {
	cases := []struct{ good, old, new, field string }{
		{goodTicket, `"slots":4`, `"slots":5`, "number"},
		{goodTicket, `"number":2`, `"number":1`, "number"},
		{goodDesired, `"weight":90`, `"weight":80`, "version"},
		{goodDesired, `"version":7`, `"version":6`, "version"},
	}
	for _, c := range cases {
		next := strings.Replace(c.good, c.old, c.new, 1)
		r, err := Check(File{"f", []byte(next)}, &File{"g", []byte(c.good)})
		must.NoError(t, err)
		must.SliceLen(t, 1, r.Findings, must.Sprint(r.Findings))
		must.EqOp(t, NotNewer, r.Findings[0].Effect)
		must.EqOp(t, c.field, r.Findings[0].Field)
	}
	next := strings.NewReplacer(`"version":7`, `"version":8`, "/443/", "/444/", `"idle-timeout-ms":15000`, `"idle-timeout-ms":16000`).Replace(goodDesired)
	r, err := Check(File{"f", []byte(next)}, &File{"g", []byte(goodDesired)})
	must.NoError(t, err)
	must.SliceEmpty(t, r.Findings)
	var parts []string
	for _, change := range r.Changes {
		parts = append(parts, string(change.Action)+" "+change.Part)
	}
	must.Eq(t, []string{"changed idle timeout", "added route 198.18.0.1:444", "removed route 198.18.0.1:443"}, parts)
}

// acceptedByDaemons reports whether the code that balancers run accepts a document: the
// registry's client, or the register of tickets.
func acceptedByDaemons(kind Kind, text []byte) (accepted bool, cause string) {
	if kind == Ticket {
		record, err := ticket.NewRecord(text, 1, false)
		if err != nil {
			return false, err.Error()
		}
		register := ticket.NewRegister()
		return register.Join(time.Unix(1, 0), record) == ticket.InForce, "not in force"
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		value := base64.StdEncoding.EncodeToString(text)
		fmt.Fprintf(w, `{"items":[{"key":"op/config","value":%q,"revision":1}],"truncated":false,"current-rev":1}`, value)
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	store := platform.NewStore(address, func(_ string, err error) { cause = err.Error() })
	change, err := store.Load(context.Background())
	return err == nil && change.Desired != nil, cause
}

func refused(r *Result) bool {
	for _, f := range r.Findings {
		if f.Effect == Refused {
			return true
		}
	}
	return false
}

// drawTicket draws a ticket, some of whose values are out of range.
func drawTicket(t *rapid.T) any {
	address := func(name string) string {
		return fmt.Sprintf("10.0.0.%d:%d", rapid.IntRange(0, 3).Draw(t, name), rapid.IntRange(0, 2).Draw(t, name+" port"))
	}
	number := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
	prefixes := rapid.SliceOfN(rapid.SampledFrom([]string{"/feed", "/feed/a", "/drawing", "", "x"}), 0, 3)
	var endpoints []map[string]any
	for range number("endpoints", 3) {
		endpoints = append(endpoints, map[string]any{
			"name": rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "name"), "zone": rapid.SampledFrom([]string{"fd-1", ""}).Draw(t, "zone"),
			"datagram": address("datagram"), "control": address("control"), "weight": number("weight", 1100), "draining": rapid.Bool().Draw(t, "draining"),
		})
	}
	return map[string]any{
		"number": number("number", 3), "service": rapid.SampledFrom([]string{"orders", ""}).Draw(t, "service"), "address": address("address"),
		"removed": rapid.Bool().Draw(t, "removed"), "endpoints": endpoints, "feeds": prefixes.Draw(t, "feeds"), "idempotent": prefixes.Draw(t, "idempotent"),
		"limits": map[string]any{"slots": number("slots", 1100), "connections": number("connections", 2), "queue_ms": number("queue", 3000), "drain_s": number("drain", 2)},
	}
}

// drawDesired draws a desired state, some of whose values are out of range.
func drawDesired(t *rapid.T) any {
	name := rapid.SampledFrom([]string{"orders", "drawings", ""})
	number := func(name string) float64 { return float64(rapid.IntRange(-1, 40).Draw(t, name)) / 2 }
	var routes, services []map[string]any
	for range rapid.IntRange(0, 3).Draw(t, "routes") {
		route := map[string]any{
			"name": "r", "host": rapid.SampledFrom([]string{"198.18.0.1", "198.18.0.2", "::1", "x"}).Draw(t, "host"),
			"prefix":  rapid.SampledFrom([]string{"/1/", "/2/", "/0/", "/65536/", "/"}).Draw(t, "prefix"),
			"goal-ms": number("goal"), "timeout-ms": number("timeout"), "priority": number("priority"),
			"type": rapid.SampledFrom([]string{"idempotent", "upload", "other"}).Draw(t, "type"),
		}
		if rapid.Bool().Draw(t, "split") {
			var split []map[string]any
			for range rapid.IntRange(0, 2).Draw(t, "shares") {
				split = append(split, map[string]any{"service": name.Draw(t, "service"), "weight": rapid.IntRange(0, 2).Draw(t, "weight")})
			}
			route["split"] = split
		} else {
			route["service"] = name.Draw(t, "service")
		}
		routes = append(routes, route)
	}
	for range rapid.IntRange(0, 2).Draw(t, "services") {
		services = append(services, map[string]any{"name": name.Draw(t, "name"), "cold-start-s": number("cold"), "cold-per-s": number("rate"), "max-conns": number("conns")})
	}
	return map[string]any{
		"version": rapid.IntRange(0, 9).Draw(t, "version"), "routes": routes, "services": services,
		"limits": map[string]any{"idle-timeout-ms": number("idle")},
	}
}

// What the check passes the daemons accept, and what it calls refused they refuse: an
// operator must be able to rely on both.
func TestDaemonsAcceptWhatPasses(t *testing.T) {
	for kind, draw := range map[Kind]func(*rapid.T) any{Ticket: drawTicket, Desired: drawDesired} {
		t.Run(string(kind), func(t *testing.T) {
			passed, refusals := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				text, err := json.MarshalIndent(draw(t), "", " ")
				must.NoError(t, err)
				r, err := Check(File{"f", text}, nil)
				must.NoError(t, err)
				must.EqOp(t, kind, r.Kind)
				accepted, cause := acceptedByDaemons(kind, text)
				must.EqOp(t, !refused(r), accepted, must.Sprint(string(text), r.Findings, cause))
				if accepted {
					passed++
				} else {
					refusals++
				}
			})
			must.Positive(t, passed)
			must.Positive(t, refusals)
		})
	}
}

// No input makes the check fail otherwise than by its error type, and it never passes what
// the daemons' decoders refuse.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(goodTicket))
	f.Add([]byte(goodDesired))
	f.Add([]byte(`{"version":1e999,"routes":[{"host":null}]}`))
	f.Add([]byte(`{"number":1,"endpoints":[null],"limits":null,"service":"\ud800"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Check(File{"f", text}, &File{"g", text})
		if err != nil {
			var unreadable *UnreadableError
			must.True(t, errors.As(err, &unreadable))
			return
		}
		accepted := len(platform.DecodeDesired(text).Refused) == 0
		if r.Kind == Ticket {
			_, err := ticket.NewRecord(text, 0, false)
			accepted = err == nil
		}
		must.EqOp(t, !refused(r), accepted)
		for _, finding := range r.Findings {
			must.Positive(t, finding.Line)
		}
	})
}
