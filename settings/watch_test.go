package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Unchanged content is not reported, invalid content calls onError, and valid new
// content calls onChange.
func TestWatchReportsEachNewContentOnce(t *testing.T) {
	raw, err := os.ReadFile(examples + string(PacketBalancer) + ".json")
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	must.NoError(t, os.WriteFile(file, raw, 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	signals := make(chan os.Signal)
	changes, failures := make(chan *Settings, 1), make(chan error, 1)
	done := make(chan error, 1)
	go func() {
		done <- Watch(ctx, file, signals, func(s *Settings) { changes <- s }, func(err error) { failures <- err })
	}()
	signals <- syscall.SIGHUP // unchanged content is not reported
	must.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	signals <- syscall.SIGHUP
	must.Error(t, <-failures)
	changed := append([]byte(nil), raw...)
	changed = append(changed, '\n')
	must.NoError(t, os.WriteFile(file, changed, 0o600))
	signals <- syscall.SIGHUP
	must.EqOp(t, PacketBalancer, (<-changes).Role)
	must.EqOp(t, 0, len(changes))
	cancel()
	must.NoError(t, <-done)
}
