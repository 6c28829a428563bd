package admission

import "time"

// maxRetryAfter bounds when a refused caller is told to return.
const maxRetryAfter = 30 * time.Second

// returns assigns refused callers the times at which they may return: the first when the
// queue will have been served, the others one by one at the rate at which the backend server
// serves. Callers that are told the same time return together and are refused again.
type returns struct{ next time.Time }

// after returns how long a caller that is refused now should wait. wait is the expected wait
// in the queue and interval the time between two requests that leave it; either may be 0 if
// it is not known.
func (r *returns) after(now time.Time, wait, interval time.Duration) time.Duration {
	if earliest := now.Add(wait); r.next.Before(earliest) {
		r.next = earliest
	}
	after := min(r.next.Sub(now), maxRetryAfter)
	r.next = r.next.Add(interval)
	if limit := now.Add(maxRetryAfter); r.next.After(limit) {
		r.next = limit
	}
	return after
}
