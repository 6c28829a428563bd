package directory

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of random cases unless they are given
// as flags. Example of a long run: -rapid.checks=300000 -rapid.seed=N.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	flag.Parse()
	os.Exit(m.Run())
}
