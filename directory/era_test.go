package directory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A source restored from a copy answers with lower revisions than those known. Its
// content is applied, also a change at a revision that is known with other content.
func TestRestoredSourceIsFollowed(t *testing.T) {
	s := known(t, endpointAt("i", 5))
	change := Change{Era: 1, Revision: 10, After: 9, AsOf: 2 * time.Second, Desired: &Desired{Version: 3, ModRevision: 10}}
	_, ok := s.Apply(2*time.Second, change)
	must.True(t, ok)
	restored := Change{Era: 2, Revision: 9, Snapshot: true, AsOf: 3 * time.Second, Desired: &Desired{Version: 4, ModRevision: 9}, Endpoints: []Endpoint{endpointAt("i", 5)}}
	changed, ok := s.Apply(3*time.Second, restored)
	must.True(t, ok)
	must.True(t, changed)
	must.EqOp(t, 9, s.Revision())
	must.EqOp(t, 4, s.Desired().Version)
	must.EqOp(t, 3*time.Second, s.AsOf())
}

// A desired state that a restored source has lost stays in force until it has a later one.
func TestRestoredSourceRevertsNothing(t *testing.T) {
	s := known(t, endpointAt("i", 5))
	s.Apply(2*time.Second, Change{Era: 1, Revision: 12, After: 10, AsOf: 2 * time.Second, Desired: &Desired{Version: 7, ModRevision: 12}})
	s.Apply(3*time.Second, Change{Era: 2, Revision: 13, Snapshot: true, AsOf: 3 * time.Second, Desired: &Desired{Version: 1, ModRevision: 13}, Endpoints: []Endpoint{endpointAt("i", 5)}})
	must.EqOp(t, 7, s.Desired().Version)
}
