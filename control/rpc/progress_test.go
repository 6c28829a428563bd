package rpc

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// get calls a server and reads its response.
func get(t *testing.T, transport *ProgressTransport, wait time.Duration, handler http.HandlerFunc) (string, error) {
	server := httptest.NewServer(handler)
	defer server.Close()
	request, err := http.NewRequestWithContext(WithWait(t.Context(), wait), http.MethodGet, server.URL, http.NoBody)
	must.NoError(t, err)
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func mustBeStalled(t *testing.T, err error) {
	var stalled *NoProgressError
	must.True(t, errors.As(err, &stalled), must.Sprint(err))
}

// A response that takes many times the timeout is read whole, as long as it arrives.
func TestSlowResponseIsReadWhole(t *testing.T) {
	const timeout, parts = 200 * time.Millisecond, 20
	transport := &ProgressTransport{Base: http.DefaultTransport, Timeout: timeout, Limit: time.Minute}
	body, err := get(t, transport, 0, func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			time.Sleep(timeout / 10)
		}
	})
	must.NoError(t, err)
	must.EqOp(t, parts*len("part"), len(body))
}

func TestStalledCallIsGivenUp(t *testing.T) {
	transport := &ProgressTransport{Base: http.DefaultTransport, Timeout: 50 * time.Millisecond, Limit: time.Minute}
	for name, handler := range map[string]http.HandlerFunc{
		"before the response": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"within the response": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "begin")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := get(t, transport, 0, handler)
			mustBeStalled(t, err)
		})
	}
}

// A server that may wait has that time on top of the timeout.
func TestWaitIsAddedToTimeout(t *testing.T) {
	transport := &ProgressTransport{Base: http.DefaultTransport, Timeout: 100 * time.Millisecond, Limit: time.Minute}
	body, err := get(t, transport, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * transport.Timeout)
		_, _ = io.WriteString(w, "late")
	})
	must.NoError(t, err)
	must.EqOp(t, "late", body)
}

// A response that never ends is given up at the limit.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	transport := &ProgressTransport{Base: http.DefaultTransport, Timeout: time.Minute, Limit: 100 * time.Millisecond}
	_, err := get(t, transport, 0, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "more")
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	})
	mustBeStalled(t, err)
}
