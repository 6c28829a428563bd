package flow

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of random cases, unless flags override them:
// -rapid.checks=300000 -rapid.seed=N for a long run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20000")
	flag.Parse()
	os.Exit(m.Run())
}
