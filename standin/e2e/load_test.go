package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"cactustray/admission/frontend"
	"cactustray/standin/backend"
	"cactustray/standin/testcluster"

	"github.com/shoenig/test/must"
)

// feed is an open feed, read until it is stopped.
type feed struct {
	endpoint string
	lines    atomic.Int64
	stopped  atomic.Bool
	stop     context.CancelFunc
	done     chan struct{}
	// broken is the reason why the feed ended before it was stopped, or nil. It may be
	// read once done is closed.
	broken error
}

// lineError reports a feed's line that is out of sequence.
type lineError struct{ Want, Got string }

func (e *lineError) Error() string { return "got line " + e.Got + ", want " + e.Want }

// openFeed opens a feed from a new caller and waits for its first line.
func openFeed(t *testing.T, cluster *testcluster.Cluster, service string) *feed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &feed{stop: cancel, done: make(chan struct{})}
	response := retryUntilOK(t, cluster, ctx, cluster.URL(service, "/feed?lines=1000000&interval=20"))
	f.endpoint = response.Header.Get(frontend.EndpointHeader)
	go f.read(response.Body)
	cluster.Await(func() bool { return f.lines.Load() > 0 || f.ended() })
	return f
}

// retryUntilOK repeats a request, from a new caller each time, until the response is
// 200 OK.
func retryUntilOK(t *testing.T, cluster *testcluster.Cluster, ctx context.Context, url string) *http.Response {
	t.Helper()
	var response *http.Response
	cluster.Await(func() bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		must.NoError(t, err)
		response, err = cluster.Caller().Do(request)
		return err == nil && response.StatusCode == http.StatusOK
	})
	return response
}

// read checks that the feed's lines count up from 0 and records why the feed ended.
func (f *feed) read(body io.ReadCloser) {
	defer close(f.done)
	defer body.Close()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		want := strconv.FormatInt(f.lines.Load(), 10)
		if scanner.Text() != want {
			f.broken = &lineError{Want: want, Got: scanner.Text()}
			return
		}
		f.lines.Add(1)
	}
	if f.stopped.Load() {
		return
	}
	f.broken = scanner.Err()
	if f.broken == nil {
		f.broken = io.ErrUnexpectedEOF
	}
}

func (f *feed) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// feeds is a group of open feeds.
type feeds []*feed

func openFeeds(t *testing.T, cluster *testcluster.Cluster, service string, count int) feeds {
	t.Helper()
	all := make(feeds, count)
	var group sync.WaitGroup
	for i := range all {
		group.Go(func() { all[i] = openFeed(t, cluster, service) })
	}
	group.Wait()
	return all
}

// split returns the feeds from one endpoint, and those from all other endpoints.
func (all feeds) split(endpoint string) (on, other feeds) {
	for _, f := range all {
		if f.endpoint == endpoint {
			on = append(on, f)
		} else {
			other = append(other, f)
		}
	}
	return on, other
}

// mustProgress waits until every feed has delivered several more lines, and fails the
// test if one has ended.
func (all feeds) mustProgress(t *testing.T, cluster *testcluster.Cluster) {
	t.Helper()
	const more = 5
	before := make([]int64, len(all))
	for i, f := range all {
		before[i] = f.lines.Load()
	}
	for i, f := range all {
		cluster.Await(func() bool { return f.lines.Load() >= before[i]+more || f.ended() })
		if f.ended() {
			t.Fatalf("feed on %s broke after %d lines: %v", f.endpoint, f.lines.Load(), f.broken)
		}
	}
}

func (all feeds) stop() {
	for _, f := range all {
		f.stopped.Store(true)
		f.stop()
		<-f.done
	}
}

// outcome is a confirmation's outcome as its caller knows it.
type outcome int

const (
	confirmed outcome = iota
	notRun
	unknown
)

// confirm sends a confirmation once and returns its outcome. Work is how long it runs,
// timeout how long the caller waits, both in milliseconds.
func confirm(ctx context.Context, cluster *testcluster.Cluster, service, key string, work, timeout int) outcome {
	url := cluster.URL(service, fmt.Sprintf("/confirm?work=%d", work))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return unknown
	}
	request.Header.Set(backend.IdempotencyHeader, key)
	request.Header.Set(frontend.TimeoutHeader, strconv.Itoa(timeout))
	from := cluster.Caller()
	defer from.Close()
	response, err := from.Do(request)
	if err != nil {
		cluster.Log("confirmation", key, "failed:", err)
		return unknown
	}
	defer response.Body.Close()
	if response.Header.Get(frontend.OutcomeHeader) == frontend.OutcomeNotRun {
		return notRun
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || string(body) != "confirmed "+key+"\n" {
		cluster.Log("confirmation", key, "answered", response.StatusCode, string(body), err)
		return unknown
	}
	return confirmed
}

// confirmations sends confirmations throughout a fault and stores their outcomes.
type confirmations struct {
	mu       sync.Mutex
	outcomes map[string]outcome
	stop     context.CancelFunc
	group    sync.WaitGroup
	count    atomic.Int64
}

// Running time and timeout, in milliseconds, of the confirmations that
// startConfirmations sends.
const (
	confirmWork    = 5
	confirmTimeout = 5000
)

// startConfirmations sends confirmations until finish, several concurrently.
func startConfirmations(t *testing.T, cluster *testcluster.Cluster, service, name string) *confirmations {
	return startConfirmationsWith(t, name, func(key string) outcome {
		return confirm(context.Background(), cluster, service, key, confirmWork, confirmTimeout)
	})
}

// startConfirmationsWith calls send with new keys until finish, several calls
// concurrently, and stores the outcomes.
func startConfirmationsWith(t *testing.T, name string, send func(key string) outcome) *confirmations {
	const senders = 4
	running, stop := context.WithCancel(context.Background())
	c := &confirmations{outcomes: make(map[string]outcome), stop: stop}
	t.Cleanup(func() {
		stop()
		c.group.Wait()
	})
	for s := range senders {
		c.group.Go(func() {
			for i := 0; running.Err() == nil; i++ {
				key := fmt.Sprintf("%s-%d-%d", name, s, i)
				c.record(key, send(key))
			}
		})
	}
	return c
}

func (c *confirmations) record(key string, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[key] = o
	c.count.Add(1)
}

// awaitMore waits for the outcomes of more confirmations.
func (c *confirmations) awaitMore(cluster *testcluster.Cluster, more int64) {
	limit := c.count.Load() + more
	cluster.Await(func() bool { return c.count.Load() >= limit })
}

// finish stops sending and checks the outcomes that callers received against the
// backend servers' records. It returns the number of confirmations by outcome.
func (c *confirmations) finish(t *testing.T, cluster *testcluster.Cluster) map[outcome]int {
	t.Helper()
	c.stop()
	c.group.Wait()
	recorded := make(map[string]int)
	for _, server := range cluster.Servers {
		for key, times := range server.Records() {
			recorded[key] += times
		}
	}
	counts := make(map[outcome]int)
	for key, o := range c.outcomes {
		counts[o]++
		must.LessEq(t, 1, recorded[key], must.Sprintf("%s was recorded more than once", key))
		switch o {
		case confirmed:
			must.EqOp(t, 1, recorded[key], must.Sprintf("%s was confirmed", key))
		case notRun:
			must.EqOp(t, 0, recorded[key], must.Sprintf("%s was reported as not run", key))
		}
	}
	return counts
}
