// Package platform reads what the platform publishes. The protocol is the
// blocking query of Consul's key/value store: a read returns a modify index,
// and a read with an index blocks until there is a newer one. The package never
// writes.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cactustray/control/meter"
)

const (
	// waitTime is how long the platform blocks a watch without changes.
	waitTime = 10 * time.Second
	// callTimeout bounds a watch including the transfer of its response.
	callTimeout = waitTime + 5*time.Second
	// TicketPrefix is the key prefix of tickets, relative to the system's
	// prefix.
	TicketPrefix = "tickets/"
	// VMKey is the key of the list of VMs, relative to the system's prefix.
	VMKey       = "vms"
	indexHeader = "X-Consul-Index"
)

// Pair is a published key and its value.
type Pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// VM is one machine of the platform's list. The list lags behind reality.
type VM struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Datagram string `json:"datagram"`
	Control  string `json:"control"`
	// Leaving is true if the machine is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// UnavailableError reports that the platform could not be read.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "platform unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError reports a response whose HTTP status is not 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("platform answered status %d", e.Status) }

// Reader reads what the platform publishes.
type Reader struct {
	client *http.Client
	base   string
	prefix string
}

// NewReader returns a reader of all keys under prefix at the platform's base
// URL. The meter counts its traffic.
func NewReader(base, prefix string, m *meter.Meter) *Reader {
	transport := &http.Transport{DialContext: m.Dialer()}
	return &Reader{client: &http.Client{Timeout: callTimeout, Transport: transport}, base: base, prefix: prefix}
}

// Prefix returns the prefix of the system's keys.
func (r *Reader) Prefix() string { return r.prefix }

// Read returns every pair and the modify index of the read. If after is 0 it
// returns at once; else it blocks until the index is newer than after or the
// wait time has passed. It fails with *UnavailableError.
func (r *Reader) Read(ctx context.Context, after uint64) ([]Pair, uint64, error) {
	return r.read(ctx, r.keyURL("", after))
}

// ReadList returns only the pair of the list of VMs, without blocking. It fails
// as Read does.
func (r *Reader) ReadList(ctx context.Context) ([]Pair, error) {
	pairs, _, err := r.read(ctx, r.keyURL(VMKey, 0))
	return pairs, err
}

func (r *Reader) read(ctx context.Context, keyURL string) ([]Pair, uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, keyURL, nil)
	if err != nil {
		return nil, 0, &UnavailableError{Cause: err}
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, 0, &UnavailableError{Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, &UnavailableError{Cause: &StatusError{Status: response.StatusCode}}
	}
	var pairs []Pair
	if err := json.NewDecoder(response.Body).Decode(&pairs); err != nil {
		return nil, 0, &UnavailableError{Cause: err}
	}
	index, err := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	if err != nil {
		return nil, 0, &UnavailableError{Cause: err}
	}
	return pairs, index, nil
}

func (r *Reader) keyURL(key string, after uint64) string {
	query := url.Values{"recurse": {"true"}}
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", waitTime.String())
	}
	return r.base + "/v1/kv/" + r.prefix + key + "?" + query.Encode()
}
