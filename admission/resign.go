package admission

import (
	"encoding/binary"
	"slices"
	"time"

	"cactustray/steering"
	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
)

const (
	// resignTime is how long a resignation holds. It is at most KeepTime: a
	// process that started after the resignation is still fresh, and asks all
	// others, when they count its endpoint as a keeper again.
	resignTime = KeepTime
	// copies is how many endpoints a resigning keeper passes each record to.
	copies = 2
	// maxPassedAnswers bounds the answers passed to one endpoint, in bytes.
	maxPassedAnswers = 1 << 20
)

// View is the hash of whom an agent counts as keepers. Agents with equal views
// choose the same keeper for every key.
type View uint64

// PassedRecord is what a resigning keeper knows of one key. Without an answer,
// the key may have run.
type PassedRecord struct {
	Key         Key
	Fingerprint Fingerprint
	Answer      Answer
	// Witnessed tells that another agent kept the key.
	Witnessed bool
}

// Resignation is what a resigning keeper passes on to one other endpoint.
type Resignation struct {
	From        ticket.EndpointKey
	Incarnation steering.Incarnation
	To          ticket.EndpointKey
	// View is the sender's without its own resignation.
	View    View
	Records []PassedRecord
}

type resigned struct {
	incarnation steering.Incarnation
	until       time.Time
}

// Routing returns the members that keep keys now: those of the ticket but for
// the endpoints that have resigned.
func (k *Keeper) Routing(now time.Time) Members {
	k.expire(now)
	return Members{All: k.without(k.members.All), Keepers: k.without(k.members.Keepers)}
}

func (k *Keeper) without(endpoints []ticket.EndpointKey) []ticket.EndpointKey {
	return slices.DeleteFunc(slices.Clone(endpoints), func(e ticket.EndpointKey) bool {
		_, gone := k.resigned[e]
		return gone
	})
}

// expire ends resignations. A keeper whose own has ended counts as fresh.
func (k *Keeper) expire(now time.Time) {
	for e, r := range k.resigned {
		if now.Before(r.until) {
			continue
		}
		delete(k.resigned, e)
		if e == k.self {
			k.since = now
		}
	}
}

// Returned takes in that a process runs at an endpoint. One that started after
// the resignation ends it.
func (k *Keeper) Returned(endpoint ticket.EndpointKey, incarnation steering.Incarnation) {
	if r, ok := k.resigned[endpoint]; ok && incarnation > r.incarnation {
		delete(k.resigned, endpoint)
	}
}

// Resign begins to give up keeping before a planned stop: from now on this
// agent runs no key. Every endpoint must take in what is returned; then Resigned
// is told to all of them, else KeepOn is called here. A fresh keeper can't
// resign, since it does not know what ran before it.
func (k *Keeper) Resign(now time.Time, incarnation steering.Incarnation) []Resignation {
	k.expire(now)
	if _, already := k.resigned[k.self]; already || k.fresh(now) {
		return nil
	}
	view := k.view()
	k.resigned[k.self] = resigned{incarnation: incarnation, until: now.Add(resignTime)}
	passed := make(map[ticket.EndpointKey]*Resignation)
	for _, e := range k.without(k.members.All) {
		passed[e] = &Resignation{From: k.self, Incarnation: incarnation, To: e, View: view}
	}
	keepers := k.without(k.members.Keepers)
	for key, r := range k.records {
		if record, ran := k.pass(now, key, r); ran {
			for _, to := range nearest(key, keepers) {
				passed[to].add(record)
			}
		}
	}
	return ordered(passed)
}

// pass returns what is known of a key; ran is false when it surely never ran.
func (k *Keeper) pass(now time.Time, key Key, r *record) (record PassedRecord, ran bool) {
	if r.state == notRun {
		return PassedRecord{}, false
	}
	if r.state == asking {
		k.settle(now, r, uncertain)
	}
	return PassedRecord{Key: key, Fingerprint: r.fingerprint, Answer: r.answer, Witnessed: r.state == witnessed}, true
}

// add adds a record; an answer beyond the bound is left out.
func (r *Resignation) add(record PassedRecord) {
	if record.Answer != nil {
		size := record.Answer.Size()
		for _, other := range r.Records {
			if other.Answer != nil {
				size += other.Answer.Size()
			}
		}
		if size > maxPassedAnswers {
			record.Answer = nil
		}
	}
	r.Records = append(r.Records, record)
}

func ordered(passed map[ticket.EndpointKey]*Resignation) []Resignation {
	var all []Resignation
	for _, r := range passed {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Resignation) int {
		if a.To < b.To {
			return -1
		}
		return 1
	})
	return all
}

// nearest returns the endpoints that keep a key, in turn as the ones before
// them go.
func nearest(key Key, endpoints []ticket.EndpointKey) []ticket.EndpointKey {
	left := slices.Clone(endpoints)
	var chosen []ticket.EndpointKey
	for len(chosen) < copies {
		keeper, ok := KeeperOf(key, left)
		if !ok {
			return chosen
		}
		chosen = append(chosen, keeper)
		left = slices.DeleteFunc(left, func(e ticket.EndpointKey) bool { return e == keeper })
	}
	return chosen
}

// KeepOn takes a resignation back that did not reach every endpoint.
func (k *Keeper) KeepOn() { delete(k.resigned, k.self) }

// Inherit takes in what a resigning keeper knows and tells whether it did. With
// a different view it does not: the two would disagree who keeps which key.
func (k *Keeper) Inherit(now time.Time, r Resignation) bool {
	k.expire(now)
	if r.View != k.view() || len(k.records)+len(r.Records) > 2*maxRecords {
		return false
	}
	for _, record := range r.Records {
		k.inherit(now, record)
	}
	return true
}

// Resigned takes in that every endpoint has inherited what a keeper knows: keys
// are kept without it from now on, unless this agent's view has changed since.
func (k *Keeper) Resigned(now time.Time, r Resignation) {
	k.expire(now)
	if r.View == k.view() {
		k.resigned[r.From] = resigned{incarnation: r.Incarnation, until: now.Add(resignTime)}
	}
}

func (k *Keeper) inherit(now time.Time, passed PassedRecord) {
	r := k.records[passed.Key]
	switch {
	case r == nil:
		r = new(record)
		k.records[passed.Key] = r
	case r.state == asking && passed.Witnessed:
		return // the asked agents' own answers decide
	case r.state == asking, r.state == notRun, r.state == witnessed:
	case r.state == inProgress:
		return // its outcome is still to come
	default:
		k.settle(now, r, r.state) // known here, and remembered for as long
		return
	}
	if passed.Witnessed {
		// Nobody is to take the key for a new one, however young the asker.
		r.asked = now.Add(-2 * KeepTime)
		k.settle(now, r, witnessed)
		return
	}
	r.fingerprint = passed.Fingerprint
	k.settle(now, r, uncertain)
	if passed.Answer != nil {
		r.answer = passed.Answer
		r.state = answered
		k.kept += passed.Answer.Size()
	}
}

// view returns the hash of the members and of who has resigned.
func (k *Keeper) view() View {
	hash := xxhash.New()
	write := func(endpoints []ticket.EndpointKey) {
		var number [8]byte
		binary.LittleEndian.PutUint64(number[:], uint64(len(endpoints)))
		_, _ = hash.Write(number[:])
		for _, e := range endpoints {
			binary.LittleEndian.PutUint64(number[:], uint64(e))
			_, _ = hash.Write(number[:])
		}
	}
	write(k.members.All)
	write(k.members.Keepers)
	var gone []ticket.EndpointKey
	for e := range k.resigned {
		gone = append(gone, e)
	}
	slices.Sort(gone)
	write(gone)
	return View(hash.Sum64())
}
