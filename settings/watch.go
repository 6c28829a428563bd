package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is the interval at which a settings file is read again without a
// signal, because a program that writes it may send none.
const pollInterval = 2 * time.Second

// Watch reads a settings file again on each signal and every pollInterval until
// the context is done. It calls onChange with the new settings when the file's
// content has changed, or onError with *ReadError or *CheckError if the new content
// is invalid; each content is reported only once.
func Watch(ctx context.Context, file string, signals <-chan os.Signal, onChange func(*Settings), onError func(error)) error {
	last, _ := os.ReadFile(file)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-ticker.C:
		}
		raw, err := os.ReadFile(file)
		if err != nil || bytes.Equal(raw, last) {
			// A file that is missing while it is being replaced is read at the
			// next tick.
			continue
		}
		last = raw
		if s, err := Load(file); err != nil {
			onError(err)
		} else {
			onChange(s)
		}
	}
}
