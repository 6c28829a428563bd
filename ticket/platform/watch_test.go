package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/membership"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

const removedTicket = `{"number": %d, "service": "orders", "address": "192.0.2.1:443", "removed": true, "limits": {}}`

func pairOf(key string, index uint64, value string) Pair {
	return Pair{Key: key, Value: []byte(value), ModifyIndex: index}
}

func TestParserParsesEachDocumentOnce(t *testing.T) {
	var p parser
	first := pairOf("p/tickets/orders", 4, fmt.Sprintf(removedTicket, 1))
	before := p.tickets("p/", []Pair{first, pairOf("p/tickets/drawings", 5, "{"), pairOf("p/vms", 6, "[]")})
	must.Len(t, 1, before.Records)
	must.Len(t, 1, before.Refused)
	must.EqOp(t, "drawings", before.Refused[0].Service)
	same := p.tickets("p/", []Pair{first})
	must.True(t, before.Records[0].Ticket == same.Records[0].Ticket)
	rewritten := p.tickets("p/", []Pair{pairOf(first.Key, 4, fmt.Sprintf(removedTicket, 2))})
	must.EqOp(t, 2, rewritten.Records[0].Ticket.Number, must.Sprint("a platform restored to an older state repeats its indexes"))
}

// One odd entry in the list of VMs does not hide the others.
func TestOddVMHidesNoOther(t *testing.T) {
	const good = `{"name": "entry-1", "role": "balancer", "datagram": "10.0.0.1:80", "control": "10.0.0.1:81"}`
	for _, odd := range []string{
		`7`, `null`, `"entry-2"`, `{"name": 7}`, `{"role": "balancer"}`, `{"name": "entry-2", "leaving": "yes"}`,
		strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000), `1e400`,
	} {
		list := parseVMs([]byte("[" + odd + "," + good + "]"))
		must.NoError(t, list.Err)
		must.Len(t, 1, list.Nodes, must.Sprint(odd))
		must.EqOp(t, "entry-1", list.Nodes[0].Name)
		must.Len(t, 1, list.Refused, must.Sprint(odd))
	}
	must.Error(t, parseVMs([]byte(`{"name": "entry-1"}`)).Err)
}

// sink passes the messages of a watcher to the test.
type sink struct{ messages chan control.Message }

func (s *sink) Handle(_ time.Time, message control.Message) { s.messages <- message }
func (*sink) Tick(time.Time, time.Duration)                 {}

// The watcher reads in the mode set last, and does not read before one is set.
func TestWatcherFollowsMode(t *testing.T) {
	var watches, lists atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pairs := []Pair{pairOf("p/vms", 1, `[{"name": "entry-1", "role": "balancer"}]`)}
		if r.URL.Path == "/v1/kv/p/" {
			watches.Add(1)
			pairs = append(pairs, pairOf("p/tickets/orders", 2, fmt.Sprintf(removedTicket, 1)))
		} else {
			lists.Add(1)
		}
		if r.URL.Query().Get("index") != "" {
			<-r.Context().Done()
			return
		}
		w.Header().Set(indexHeader, "2")
		_ = json.NewEncoder(w).Encode(pairs)
	}))
	defer server.Close()
	traffic := new(meter.Meter)
	loop := control.NewLoop(time.Second)
	watcher := NewWatcher(NewReader(server.URL, "p/", traffic), loop, rand.New(rand.NewPCG(1, 1)))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := &sink{messages: make(chan control.Message, 100)}
	done := make(chan error, 2)
	go func() { done <- loop.Run(ctx, s) }()
	go func() { done <- watcher.Run(ctx) }()

	watcher.SetMode(ticket.ReadMode{ListInterval: time.Millisecond})
	_, isList := (<-s.messages).(membership.NodeList)
	must.True(t, isList)
	must.EqOp(t, 0, watches.Load())
	watcher.SetMode(ticket.ReadMode{Watch: true})
	for {
		if update, ok := (<-s.messages).(ticket.Update); ok {
			must.Len(t, 1, update.Records)
			break
		}
	}
	must.Positive(t, watches.Load())
	must.Positive(t, traffic.Bytes())
	stop()
	must.NoError(t, <-done)
	must.NoError(t, <-done)
}
