package spread

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/control/rpc"
	"cactustray/identity"
	"cactustray/standin/layout"
	"cactustray/ticket"
	"cactustray/ticket/exchange"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// fixedResponder gives every request the same response.
type fixedResponder struct{ response ticket.Response }

func (r *fixedResponder) Handle(_ time.Time, message control.Message) {
	if m, ok := message.(ticket.Query); ok {
		m.Reply <- r.response
	}
}

func (*fixedResponder) Tick(time.Time, time.Duration) {}

// A call on an open connection has no more overhead than CallOverhead, which the simulation
// assumes.
func TestCallOverhead(t *testing.T) {
	const calls = 200
	id := nodeIdentity(t)
	address := freeAddress(t)
	loop := control.NewLoop(time.Second)
	h := &fixedResponder{response: ticket.Response{Summary: 1, ReadAge: time.Second}}
	ctx, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return loop.Run(ctx, h) })
	mux := http.NewServeMux()
	mux.Handle(exchange.NewServer(loop).Handler())
	group.Go(func() error { return rpc.Serve(ctx, address, id, new(meter.Meter), mux) })
	defer func() {
		stop()
		must.NoError(t, group.Wait())
	}()

	traffic := new(meter.Meter)
	client := exchange.NewClient(rpc.NewMeteredClient(id, traffic), rpc.BaseURL(address.String()))
	request := ticket.Request{Sender: "entry-0001", Summarized: true, Summary: 1, ReadAge: time.Second}
	exchangeOnce := func() bool {
		_, _, err := client.Exchange(ctx, request)
		return err == nil
	}
	for !exchangeOnce() {
		must.NoError(t, ctx.Err())
	}
	opened := traffic.Bytes()
	for range calls {
		must.True(t, exchangeOnce())
	}
	messages := proto.Size(exchange.EncodeRequest(request)) + proto.Size(exchange.EncodeResponse(h.response))
	perCall := int(traffic.Bytes()-opened)/calls - messages
	t.Logf("opening and first call %d bytes; overhead of a call %d bytes, its messages %d bytes", opened, perCall, messages)
	must.LessEq(t, CallOverhead, perCall)
}

func nodeIdentity(t *testing.T) *identity.Identity {
	authority, err := layout.NewAuthority(t.TempDir())
	must.NoError(t, err)
	files, err := authority.Node(identity.Peer{Role: identity.Balancer, Name: "entry-0001"})
	must.NoError(t, err)
	id, err := identity.Load(files)
	must.NoError(t, err)
	return id
}

func freeAddress(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}
