package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// followInterval is how often a settings file is read anew without a signal:
// whatever writes it need not tell.
const followInterval = 2 * time.Second

// Follow reads a settings file again on each signal, and from time to time, until
// the context ends. changed is called with settings that differ from the last,
// failed with *ReadError or *CheckError when the file cannot be used; both only
// once for the same content.
func Follow(ctx context.Context, file string, signals <-chan os.Signal, changed func(*Settings), failed func(error)) error {
	last, _ := os.ReadFile(file)
	ticker := time.NewTicker(followInterval)
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
			// A file that is being replaced is there at the next look.
			continue
		}
		last = raw
		if s, err := Load(file); err != nil {
			failed(err)
		} else {
			changed(s)
		}
	}
}
