package traffic

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cactustray/event"
	"cactustray/flow"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// Malformed datagrams are counted, and logged with the reason at most once per second.
func TestMalformedDatagramsAreLoggedAtBoundedRate(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	log := event.NewLog(logger, "test")
	var c Counters
	const each, seconds = 100, 3
	for i := range each * seconds {
		now := time.Second + time.Duration(i)*time.Second/each
		c.CountMalformed(log, now, &flow.MalformedError{Length: 3, Why: "shorter than a header"})
	}
	must.EqOp(t, seconds, strings.Count(out.String(), "shorter than a header"))
	must.EqOp(t, each*seconds, c.malformed.Load())
}
