package ticket

import (
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed unless -rapid.seed is given on the command line.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// sample returns a valid ticket whose content depends on number and variant.
func sample(number Number, variant uint32) *Ticket {
	return &Ticket{
		Number:  number,
		Service: "orders",
		Address: netip.MustParseAddrPort("192.0.2.1:443"),
		Limits:  Limits{Slots: 2, Connections: 2000, QueueMillis: 1000, DrainSeconds: 30},
		Endpoints: []Endpoint{{
			Name:     "orders-1",
			Zone:     "fd-1",
			Datagram: netip.MustParseAddrPort("192.0.2.2:7000"),
			Control:  netip.MustParseAddrPort("192.0.2.2:7001"),
			Weight:   variant + 1,
		}},
	}
}

func recordOf(t rapid.TB, tk *Ticket, index uint64, sealed bool) Record {
	document, err := json.Marshal(tk)
	must.NoError(t, err)
	record, err := NewRecord(document, index, sealed)
	must.NoError(t, err)
	return record
}

func sampleRecord(t rapid.TB, number Number, variant uint32, index uint64, sealed bool) Record {
	return recordOf(t, sample(number, variant), index, sealed)
}

// compare compares the rank of two tickets as the register does.
func compare(a, b Record) int { return DigestOf(a).Compare(DigestOf(b)) }

func drawRecord(t *rapid.T) Record {
	return sampleRecord(t,
		Number(rapid.Uint64Range(1, 3).Draw(t, "number")),
		rapid.Uint32Range(0, 2).Draw(t, "variant"),
		rapid.Uint64Range(1, 3).Draw(t, "index"),
		rapid.Bool().Draw(t, "sealed"))
}

var (
	epoch  = time.Unix(0, 0)
	orders = ServiceKeyOf("orders")
)

func joinAll(records []Record) *Register {
	r := NewRegister()
	for _, record := range records {
		r.Join(epoch, record)
	}
	return r
}

// Joining the same tickets in any order, any number of times, gives the same
// register.
func TestJoinIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 8).Draw(t, "records")
		shuffled := rapid.Permutation(append(records, records...)).Draw(t, "shuffled")
		one, two := joinAll(records), joinAll(shuffled)
		must.EqOp(t, 0, compare(one.Entry(orders).Record, two.Entry(orders).Record))
		must.EqOp(t, one.Summary(), two.Summary())
		must.Eq(t, one.Sums(), two.Sums())
	})
}

// No step lowers the number in force or replaces a sealed content by one with
// the same number that is not sealed.
func TestJoinNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := joinAll([]Record{drawRecord(t)})
		now := epoch
		for range 20 {
			before := r.Entry(orders).Record
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "seal") {
				r.Seal(now, Confirmation{At: now})
				before = r.Entry(orders).Record
			}
			record := drawRecord(t)
			if rapid.Bool().Draw(t, "digest") {
				r.JoinDigest(epoch, DigestOf(record))
			} else {
				r.Join(now, record)
			}
			after := r.Entry(orders).Record
			must.GreaterEq(t, before.Ticket.Number, after.Ticket.Number)
			displaced := after.Ticket.Number == before.Ticket.Number && after.Content != before.Content
			must.False(t, displaced && before.Sealed && !after.Sealed)
			must.GreaterEq(t, 0, compare(after, before))
		}
	})
}

func TestSealedTicketIsNotReplacedByConflictingOne(t *testing.T) {
	r := NewRegister()
	accepted := sampleRecord(t, 7, 0, 5, false)
	must.EqOp(t, InForce, r.Join(epoch, accepted))
	must.Len(t, 1, r.Seal(epoch.Add(SealAfter), Confirmation{At: epoch.Add(SealAfter)}))
	conflicting := sampleRecord(t, 7, 1, 1, false)
	must.EqOp(t, ConflictLost, r.Join(epoch, conflicting))
	must.EqOp(t, accepted.Content, r.Entry(orders).Content)
}

func TestSealRequiresTimeAndPeer(t *testing.T) {
	r := joinAll([]Record{sampleRecord(t, 1, 0, 1, false)})
	late := epoch.Add(time.Hour)
	must.Len(t, 0, r.Seal(late, Confirmation{At: time.Time{}}), must.Sprint("no comparison has ever ended"))
	must.Len(t, 0, r.Seal(late, Confirmation{At: epoch.Add(SealAfter - 1)}), must.Sprint("a conflicting ticket may still arrive"))
	must.Len(t, 0, r.Seal(epoch.Add(SealAfter-1), Confirmation{At: late}))
	must.Len(t, 1, r.Seal(late, Confirmation{At: epoch.Add(SealAfter)}))
}

func TestConflictingTicketIsCountedOnce(t *testing.T) {
	r := joinAll([]Record{sampleRecord(t, 7, 0, 1, false)})
	conflicting := sampleRecord(t, 7, 1, 2, false)
	must.EqOp(t, ConflictLost, r.Join(epoch, conflicting))
	for range 10 {
		must.EqOp(t, Unchanged, r.Join(epoch, conflicting))
		must.EqOp(t, Unchanged, r.JoinDigest(epoch, DigestOf(conflicting)))
	}
	must.EqOp(t, 1, r.Entry(orders).Conflicts())
	conflicting.Sealed = true
	must.EqOp(t, ConflictWon, r.Join(epoch, conflicting))
	must.EqOp(t, 1, r.Entry(orders).Conflicts())
	must.EqOp(t, InForce, r.Join(epoch, sampleRecord(t, 8, 0, 3, false)))
	must.EqOp(t, 0, r.Entry(orders).Conflicts())
}

func TestRefusalReasons(t *testing.T) {
	inForce := sampleRecord(t, 7, 0, 10, false)
	older := sampleRecord(t, 6, 0, 4, false)
	conflicting := sampleRecord(t, 7, 1, 11, false)
	_, broken := ParsePublished("drawings", []byte("{"), 1)
	_, foreign := ParsePublished("drawings", inForce.Document, 1)
	_, large := ParsePublished("drawings", make([]byte, MaxDocumentBytes+1), 1)
	for name, c := range map[string]struct {
		update  Update
		service string
		reason  string
	}{
		"older":       {Update{Records: []Record{older}}, "orders", "ticket 6 is published, but 7 is in force"},
		"conflicting": {Update{Records: []Record{conflicting}}, "orders", "publish under the next number"},
		"broken":      {Update{Refused: []Refused{{"drawings", broken}}}, "drawings", "refused"},
		"foreign":     {Update{Refused: []Refused{{"drawings", foreign}}}, "drawings", "published under the key"},
		"large":       {Update{Refused: []Refused{{"drawings", large}}}, "drawings", "1048576 bytes or less"},
	} {
		r := joinAll([]Record{inForce})
		for _, record := range c.update.Records {
			r.Join(epoch, record)
		}
		fresh := r.RecordPublished(c.update)
		must.Len(t, 1, fresh, must.Sprint(name))
		must.EqOp(t, c.service, fresh[0].Service)
		must.True(t, strings.Contains(fresh[0].Cause.Error(), c.reason), must.Sprint(fresh[0].Cause))
		must.Len(t, 0, r.RecordPublished(c.update), must.Sprint("reported once"))
		must.Len(t, 1, r.Refusals())
		must.EqOp(t, inForce.Content, r.Entry(orders).Content)
		r.RecordPublished(Update{Records: []Record{inForce}})
		must.Len(t, 0, r.Refusals(), must.Sprint("removed with its document"))
	}
}

// Removing a service frees its address. Of two live services that claim one
// address every node chooses the same owner, in whatever order it received the
// tickets.
func TestAddressOwner(t *testing.T) {
	named := func(name string, number Number, index uint64, removed bool) Record {
		tk := sample(number, 0)
		tk.Service, tk.Removed = name, removed
		return recordOf(t, tk, index, false)
	}
	first, second, third := named("zebra", 1, 5, false), named("melon", 1, 7, false), named("apple", 1, 6, false)
	for _, order := range [][]Record{{first, second, third}, {third, second, first}, {second, third, first}} {
		r := joinAll(order)
		owner, _ := r.AddressOwner(first.Ticket.Address)
		must.EqOp(t, first.Ticket.Key(), owner)
		must.Eq(t, []AddressConflict{
			{Address: first.Ticket.Address, Service: "zebra", Other: "apple"},
			{Address: first.Ticket.Address, Service: "zebra", Other: "melon"},
		}, r.AddressConflicts())
	}
	r := joinAll([]Record{first, second, named("zebra", 2, 8, true)})
	owner, _ := r.AddressOwner(first.Ticket.Address)
	must.EqOp(t, second.Ticket.Key(), owner)
	must.Len(t, 0, r.AddressConflicts())
}

// A removed service's ticket is retained, so an older ticket does not restore
// the service.
func TestRemovalIsRetained(t *testing.T) {
	before := sampleRecord(t, 1, 0, 1, true)
	removal := sample(2, 0)
	removal.Removed = true
	r := joinAll([]Record{before, recordOf(t, removal, 2, false)})
	must.EqOp(t, Older, r.Join(epoch, before))
	must.True(t, r.Entry(orders).Ticket.Removed)
}

// An isolated node seals what the platform confirms, but not a ticket for whose
// service the platform publishes a different document.
func TestIsolatedNodeSeals(t *testing.T) {
	late := Confirmation{At: epoch.Add(time.Hour), Isolated: true}
	r := joinAll([]Record{sampleRecord(t, 1, 0, 1, false)})
	r.RecordPublished(Update{Records: []Record{sampleRecord(t, 1, 1, 2, false)}})
	must.Len(t, 0, r.Seal(late.At, late))
	r.RecordPublished(Update{Records: []Record{sampleRecord(t, 1, 0, 1, false)}})
	must.Len(t, 1, r.Seal(late.At, late))
}

// The outcome of a conflict names the content that lost, also if others have lost before.
func TestConflictNamesTheContentThatLost(t *testing.T) {
	records := []Record{sampleRecord(t, 1, 1, 1, false), sampleRecord(t, 1, 2, 1, false), sampleRecord(t, 1, 3, 1, false)}
	slices.SortFunc(records, compare)
	s := &State{Register: NewRegister(), Gossip: new(Gossip)}
	var joined []Joined
	for _, r := range records {
		var out Output
		s.join(time.Time{}, []Record{r}, nil, &out)
		joined = append(joined, out.Joined...)
	}
	must.Len(t, 3, joined)
	must.EqOp(t, ConflictWon, joined[2].Outcome)
	must.EqOp(t, DigestOf(records[1]).Content, joined[2].ConflictingContent)
}
