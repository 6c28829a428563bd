package directory

import (
	"context"
	"time"
)

// Source reads the published directory. It is read-only.
type Source interface {
	// Load returns a full snapshot.
	Load(ctx context.Context) (Change, error)
	// Watch returns the changes after a position as soon as there are any, or
	// an empty change after the given time. It fails with ErrHistoryUnavailable
	// if the source no longer has those changes, or is in another era, and with
	// *UnreadableError if they cannot be read: Load is needed.
	Watch(ctx context.Context, after Position, wait time.Duration) (Change, error)
}

// HistoryUnavailableError reports that the source no longer has the changes
// after a revision.
type HistoryUnavailableError struct{}

func (*HistoryUnavailableError) Error() string {
	return "the source no longer has the requested changes"
}

// ErrHistoryUnavailable is the only value of HistoryUnavailableError in use.
var ErrHistoryUnavailable = &HistoryUnavailableError{}

// UnreadableError reports an answer of the source that cannot be read, and that it would
// repeat.
type UnreadableError struct{ Cause error }

func (e *UnreadableError) Error() string {
	return "unreadable answer of the source: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }
