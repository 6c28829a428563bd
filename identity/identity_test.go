package identity_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"testing"
	"time"

	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/identity"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// eventTimeout bounds each wait for an event. It does not assert any speed.
const eventTimeout = 30 * time.Second

var (
	one      = &identity.Peer{Role: identity.Balancer, Name: "one"}
	two      = &identity.Peer{Role: identity.Balancer, Name: "two"}
	agent    = &identity.Peer{Role: identity.Agent, Name: "orders-1"}
	operator = &identity.Peer{Role: identity.Operator, Name: "op"}
)

// serve starts a server that accepts calls of balancers and operators and answers with
// the caller's name.
func serve(t *testing.T, id *identity.Identity) (base string) {
	name := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, _ := identity.PeerFrom(r.Context())
		_, _ = w.Write([]byte(peer.Name))
	})
	server := httptest.NewUnstartedServer(identity.Require(name, identity.Balancer, identity.Operator))
	server.EnableHTTP2 = true
	server.TLS = id.ServerTLS()
	server.Config.ErrorLog = nil
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.URL
}

// call sends a request and returns the response's status, the URI in the server's
// certificate, and whether an existing connection was reused.
func call(client *http.Client, base string) (status int, serverURI string, reused bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodGet, base, nil)
	if err != nil {
		return 0, "", false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", false, err
	}
	defer response.Body.Close()
	return response.StatusCode, response.TLS.PeerCertificates[0].URIs[0].String(), reused, nil
}

func TestRequireChecksRole(t *testing.T) {
	a := newAuthority(t)
	base := serve(t, a.load(one))
	for peer, want := range map[*identity.Peer]int{two: http.StatusOK, operator: http.StatusOK, agent: http.StatusForbidden} {
		status, _, _, err := call(rpc.NewClient(a.load(peer)), base)
		must.NoError(t, err)
		must.EqOp(t, want, status, must.Sprint(peer.Role))
	}
}

func TestInvalidCertificatesAreRefused(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	cases := map[string]struct{ server, client *identity.Identity }{
		"client of another authority": {a.load(one), other.load(two)},
		"client without a URI":        {a.load(one), a.load(nil)},
		"server without a URI":        {a.load(nil), a.load(two)},
		"operator's own server":       {a.load(operator), a.load(two)},
	}
	for name, c := range cases {
		_, _, _, err := call(rpc.NewClient(c.client), serve(t, c.server))
		must.Error(t, err, must.Sprint(name))
	}
}

func TestLoadFailsWithoutCACertificate(t *testing.T) {
	a := newAuthority(t)
	to := files(t.TempDir())
	a.write(to, one, time.Hour)
	must.NoError(t, os.WriteFile(to.CA, []byte("nothing"), 0o600))
	_, err := identity.Load(to)
	var noAuthority *identity.NoAuthorityError
	must.True(t, errors.As(err, &noAuthority))
}

// loadAndWatch loads and watches an identity, and returns the hook that records its
// events.
func loadAndWatch(t *testing.T, to identity.Files) (*identity.Identity, *logtest.Hook) {
	id, err := identity.Load(to)
	must.NoError(t, err)
	logger, hook := logtest.NewNullLogger()
	logger.SetLevel(logrus.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = id.Watch(ctx, event.NewLog(logger, "one"))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return id, hook
}

// await waits until an event has been logged, and fails the test after eventTimeout.
func await(t *testing.T, hook *logtest.Hook, wanted event.Event) {
	t.Helper()
	limit := time.Now().Add(eventTimeout)
	for time.Now().Before(limit) {
		for _, entry := range hook.AllEntries() {
			if entry.Data["event"] == wanted.Number {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not logged:", wanted.Name)
}

// After a reload, new connections use the new certificate and the existing connection
// stays open. Files that cannot be loaded leave the old certificate in use.
func TestNewConnectionsUseReloadedCertificate(t *testing.T) {
	a := newAuthority(t)
	to := files(t.TempDir())
	a.write(to, one, time.Hour)
	id, hook := loadAndWatch(t, to)
	base := serve(t, id)
	old := rpc.NewClient(a.load(operator))
	_, _, _, err := call(old, base)
	must.NoError(t, err)

	must.NoError(t, os.WriteFile(to.Key, []byte("half a key"), 0o600))
	await(t, hook, identity.EventReloadFailed)
	_, serverURI, _, err := call(rpc.NewClient(a.load(operator)), base)
	must.NoError(t, err)
	must.EqOp(t, one.URI().String(), serverURI)

	a.write(to, two, time.Hour)
	await(t, hook, identity.EventReloaded)
	_, serverURI, reused, err := call(old, base)
	must.NoError(t, err)
	must.True(t, reused)
	must.EqOp(t, one.URI().String(), serverURI)
	_, serverURI, reused, err = call(rpc.NewClient(a.load(operator)), base)
	must.NoError(t, err)
	must.False(t, reused)
	must.EqOp(t, two.URI().String(), serverURI)
}

func TestExpiringCertificateIsLogged(t *testing.T) {
	a := newAuthority(t)
	expiring, expired := files(t.TempDir()), files(t.TempDir())
	a.write(expiring, one, 10*time.Minute) // of an hour and ten minutes
	_, hook := loadAndWatch(t, expiring)
	await(t, hook, identity.EventCertExpiring)
	a.write(expired, one, -time.Minute)
	_, hook = loadAndWatch(t, expired)
	await(t, hook, identity.EventCertExpired)
}
