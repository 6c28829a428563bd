package exchange

import (
	"net/netip"
	"testing"
	"time"

	"cactustray/directory"

	"github.com/shoenig/test/must"
)

func TestDirectoryRoundTrip(t *testing.T) {
	endpoint := directory.Endpoint{
		ID: "i-1", Incarnation: 77, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a",
		Slots: 2, Draining: true, WarmUpTime: time.Second, ModRevision: 9,
	}
	departed := endpoint
	departed.ID = "i-2"
	route := directory.Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:80"), Shares: []directory.Share{{Service: "orders", Weight: 3}}}
	snapshot := directory.Change{
		Revision: 12, Snapshot: true, AsOf: time.Minute, Complete: true,
		Desired:     &directory.Desired{Version: 3, ModRevision: 8, IdleTime: time.Hour, Routes: []directory.Route{route}},
		Endpoints:   []directory.Endpoint{endpoint},
		Departed:    []directory.Departed{{Endpoint: departed, Age: 2 * time.Second}},
		Introduced:  []netip.AddrPort{netip.MustParseAddrPort("10.0.0.9:7720")},
		Evacuations: []directory.Evacuation{{Zone: "b", Era: 2, ModRevision: 9}, {Zone: "c", Era: 1, ModRevision: 4, Ended: true}},
	}
	must.Eq(t, snapshot, decode(encode(snapshot, time.Minute), time.Minute))
}

// Entries with an unusable address are skipped; the others are decoded.
func TestUnusableAddressesAreSkipped(t *testing.T) {
	message := encode(directory.Change{
		Desired:    &directory.Desired{Routes: []directory.Route{{Name: "r"}}},
		Endpoints:  []directory.Endpoint{{ID: "i-1"}},
		Departed:   []directory.Departed{{Endpoint: directory.Endpoint{ID: "i-2"}}},
		Introduced: make([]netip.AddrPort, 1),
	}, 0)
	decoded := decode(message, 0)
	must.SliceEmpty(t, decoded.Endpoints)
	must.SliceEmpty(t, decoded.Departed)
	must.SliceEmpty(t, decoded.Introduced)
	must.SliceEmpty(t, decoded.Desired.Routes)
}

func TestIncrementsRoundTrip(t *testing.T) {
	increment := directory.Change{
		Revision: 12, After: 9, DesiredKnown: true, RouteHistory: time.Minute,
		Deleted: []directory.Deleted{{ID: "i-1", ModRevision: 11}},
		Former:  []directory.FormerService{{Address: netip.MustParseAddrPort("198.18.0.1:80"), Service: "orders", Age: time.Second}},
	}
	must.Eq(t, increment, decode(encode(increment, 0), 0))
}
