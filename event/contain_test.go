package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

func TestPanicIsContainedAndLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	log := NewLog(logger, "test")
	var mu sync.Mutex
	const panics = 5
	for range panics {
		must.False(t, log.Contain("a datagram", func() {
			mu.Lock()
			defer mu.Unlock()
			var none []int
			none[0]++
		}))
	}
	must.True(t, mu.TryLock())
	must.True(t, log.Contain("a datagram", func() {}))
	must.EqOp(t, panics, log.Count(EventPanic))
	must.EqOp(t, 1, strings.Count(out.String(), "panic contained"))
	must.StrContains(t, out.String(), "index out of range")
}
