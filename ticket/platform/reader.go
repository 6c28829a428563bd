// Package platform reads what the platform publishes. The protocol is the
// blocking query of Consul's key/value store: a read returns a modify index,
// and a read that names an index waits until something is newer. Nothing is
// ever written.
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
	// waitTime is how long the platform holds a watch that has no news.
	waitTime = 10 * time.Second
	// callTimeout bounds a watch together with its answer.
	callTimeout = waitTime + 5*time.Second
	// TicketPrefix is where tickets stand below the system's prefix.
	TicketPrefix = "tickets/"
	// VMKey is where the list of VMs stands below the system's prefix.
	VMKey       = "vms"
	indexHeader = "X-Consul-Index"
)

// Pair is one published value.
type Pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// VM is one machine as the platform lists it; the list lags.
type VM struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Datagram string `json:"datagram"`
	Control  string `json:"control"`
	// Leaving tells that the machine will go soon.
	Leaving bool `json:"leaving,omitempty"`
}

// UnavailableError reports that the platform could not be read.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "platform unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AnswerError reports an answer that is not the protocol's.
type AnswerError struct{ Status int }

func (e *AnswerError) Error() string { return fmt.Sprintf("platform answered status %d", e.Status) }

// Reader reads the platform.
type Reader struct {
	client *http.Client
	base   string
	prefix string
}

// NewReader returns a reader of all keys below prefix at the platform's URL,
// whose traffic the meter counts.
func NewReader(base, prefix string, m *meter.Meter) *Reader {
	transport := &http.Transport{DialContext: m.Dialer()}
	return &Reader{client: &http.Client{Timeout: callTimeout, Transport: transport}, base: base, prefix: prefix}
}

// Prefix returns the prefix of the system's keys.
func (r *Reader) Prefix() string { return r.prefix }

// Read returns every pair and the index they were read at. With after 0 it
// answers at once; else it waits until something is newer than after or the
// wait time is over. It fails with *UnavailableError.
func (r *Reader) Read(ctx context.Context, after uint64) ([]Pair, uint64, error) {
	return r.read(ctx, r.address("", after))
}

// ReadList returns the pair of the list of VMs alone, at once. It fails as
// Read does.
func (r *Reader) ReadList(ctx context.Context) ([]Pair, error) {
	pairs, _, err := r.read(ctx, r.address(VMKey, 0))
	return pairs, err
}

func (r *Reader) read(ctx context.Context, address string) ([]Pair, uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, 0, &UnavailableError{Cause: err}
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, 0, &UnavailableError{Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, &UnavailableError{Cause: &AnswerError{Status: response.StatusCode}}
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

func (r *Reader) address(key string, after uint64) string {
	query := url.Values{"recurse": {"true"}}
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", waitTime.String())
	}
	return r.base + "/v1/kv/" + r.prefix + key + "?" + query.Encode()
}
