package directory

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of random cases, unless flags say
// otherwise: -rapid.checks=300000 -rapid.seed=N for a long run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	flag.Parse()
	os.Exit(m.Run())
}
