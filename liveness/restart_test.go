package liveness

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A process that stopped as planned, and starts again after its machine's clock was set back,
// accepts work again: its incarnation is a time of day and lower than the one that stopped.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	observer, subject := NewObserver(), BalancerSubject("entry-1")
	first := NewSelf(subject, 1_000)
	first.SetState(Stopped)
	observer.ReceiveReport(now, first.Fact())

	restarted := NewSelf(subject, 990)
	observer.ReceiveReport(now, restarted.Fact())
	believed, _ := observer.Fact(subject)
	restarted.Refute(believed)
	observer.ReceiveReport(now, restarted.Fact())
	believed, _ = observer.Fact(subject)
	must.True(t, believed.AcceptsNew())
}
