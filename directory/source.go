package directory

import (
	"context"
	"time"
)

// Source is where a directory is published. It can only be read.
type Source interface {
	// Load returns the whole.
	Load(ctx context.Context) (Change, error)
	// Watch returns what changed after a revision, as soon as anything has, or
	// nothing after the given time. It fails with ErrHistoryGone when only a
	// load can tell.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Change, error)
}

// HistoryGoneError reports that the source no longer knows what changed after a
// revision.
type HistoryGoneError struct{}

func (*HistoryGoneError) Error() string { return "the source has forgotten the changes asked for" }

// ErrHistoryGone is the only HistoryGoneError.
var ErrHistoryGone = &HistoryGoneError{}
