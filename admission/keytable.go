package admission

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
)

const (
	// DedupWindow is the time within which a request with the same key never
	// runs a second time.
	DedupWindow = 2 * time.Minute
	// MaxAnswerSize is the size of the largest answer that is stored, in bytes.
	MaxAnswerSize = 64 << 10
	sweepInterval = time.Second
	// recallTimeout bounds the queries to other agents about a key. Records are
	// retained for DedupWindow plus recallTimeout, so that a query that begins
	// within the window still finds them.
	recallTimeout = 10 * time.Second
	// recallMargin covers the rounding of the ages that agents report.
	recallMargin = time.Millisecond
	// ownerAge is the age that an agent reports for a key that it owned itself.
	// It exceeds any real age, and leaves room to add recallMargin without
	// overflow.
	ownerAge = time.Duration(math.MaxInt64) / 2
	// maxRecords and maxAnswerBytes bound the memory for records and for stored
	// answers.
	maxRecords     = 1 << 16
	maxAnswerBytes = 32 << 20
)

// Key is the idempotency key that a caller gives a request that must run at
// most once.
type Key string

// ForwardID identifies a keyed request while agents forward it to the key's
// owner; 0 is none.
type ForwardID uint64

// Fingerprint is a hash of a request. Two requests with one key and different
// fingerprints are different requests.
type Fingerprint uint64

// KeyOwner returns the key's owner, the endpoint that stores the key's outcome.
// It is chosen by rendezvous hashing, so that a change of the endpoints moves
// as few keys as possible. ok is false if there are no endpoints.
func KeyOwner(key Key, endpoints []ticket.EndpointKey) (owner ticket.EndpointKey, ok bool) {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:], xxhash.Sum64String(string(key)))
	highest := uint64(0)
	for _, e := range endpoints {
		binary.LittleEndian.PutUint64(pair[8:], uint64(e))
		if score := xxhash.Sum64(pair[:]); !ok || score > highest {
			owner, highest, ok = e, score, true
		}
	}
	return owner, ok
}

// ClaimVerdict is the owner's decision on a request with a key.
type ClaimVerdict int

const (
	// Run: the request runs now; its outcome must be reported to the table.
	Run ClaimVerdict = iota
	// Wait: the first request with the key is in progress.
	Wait
	// Replay: the request is answered with the stored answer.
	Replay
	// Mismatch: the key was used for a different request.
	Mismatch
	// Uncertain: a request with the key may have run, and its answer is not
	// known.
	Uncertain
	// Full: the table has no room for another record.
	Full
	// QueryPeers: other endpoints must be queried before the request may run.
	QueryPeers
	// FirstNotRun: the first request with the key, for which this one waited,
	// did not run.
	FirstNotRun
	// Moved: this agent stops and has no outcome of the key; another endpoint
	// owns it from now on.
	Moved
)

// Claim is the decision on a request with a key, with its data.
type Claim struct {
	Verdict ClaimVerdict
	// Answer is set if Verdict is Replay.
	Answer Answer
	// Peers are the endpoints to query; set if Verdict is QueryPeers.
	Peers []ticket.EndpointKey
}

// KeyStatus is what an agent knows about a key.
type KeyStatus struct {
	// Known is true if the agent has a record of the key.
	Known bool
	// Age is how long the agent has had the record, or ownerAge if it owned the
	// key.
	Age time.Duration
	// Fresh is true if the agent started, or was paused, so recently that it may
	// lack records.
	Fresh bool
	// Unreachable is true if the agent did not answer, or had no room for a
	// replica of the record.
	Unreachable bool
	// Departing is true if the agent stops and has handed its records over, so that
	// it stored no replica.
	Departing bool
}

// KeyQuery is a query about a key, on behalf of a request that its owner is about
// to run or that is forwarded to the owner.
type KeyQuery struct {
	// Owner is 0 if it is not known.
	Owner ticket.EndpointKey
	// ForwardID identifies the request.
	ForwardID ForwardID
}

type recordState int

const (
	querying recordState = iota
	inProgress
	answered
	uncertain
	// notRun: the first request with the key did not run. Another one may,
	// since this agent has owned the key all the time. In this and the next state
	// the agent has no outcome of the key.
	notRun
	// replicated: another agent owns the key; this record is a replica that
	// notes the key, but not its outcome.
	replicated
)

type record struct {
	state       recordState
	fingerprint Fingerprint
	// created is when the queries to other agents about the key began or when
	// the replica was stored. It is not set in other records.
	created time.Time
	// forwardID is the forwarded request that a replica was stored for. It is 0
	// if another request or an owner has also named the key to this agent.
	forwardID ForwardID
	// owner is the owner that a replica was stored for; 0 if there were several, or
	// if it is not known.
	owner   ticket.EndpointKey
	answer  Answer
	expires time.Time
}

// Members lists the endpoints of a service's ticket.
type Members struct {
	// All are the endpoints that may have records of keys.
	All []ticket.EndpointKey
	// Owners are the endpoints that can own keys: all that are not draining.
	Owners []ticket.EndpointKey
}

func (m Members) equal(other Members) bool {
	return slices.Equal(m.All, other.All) && slices.Equal(m.Owners, other.Owners)
}

// formerMembers are members of an earlier ticket that may have records until
// the given time.
type formerMembers struct {
	Members
	until time.Time
}

// KeyTable is one agent's table of key records: the outcomes of keyed requests
// that it owns and replicas of records that other agents own. Each key that
// runs has a record at two agents at least, the owner and a replica, so that
// the loss of one of them is detected. Only the control goroutine uses it.
type KeyTable struct {
	self        ticket.EndpointKey
	started     time.Time
	members     Members
	former      []formerMembers
	records     map[Key]*record
	answerBytes int
	lastSweep   time.Time
	// departing is true once this agent stops as planned, handedOver once it has
	// handed its records over.
	departing, handedOver bool
	// departures are the planned stops of other agents that have been announced.
	departures map[ticket.EndpointKey]departure
}

// NewKeyTable returns an empty table of the endpoint self, whose process
// started at now.
func NewKeyTable(now time.Time, self ticket.EndpointKey) *KeyTable {
	return &KeyTable{
		self: self, started: now,
		records: make(map[Key]*record), departures: make(map[ticket.EndpointKey]departure),
	}
}

// SetMembers sets the endpoints of the service. The former ones are still
// queried about keys for DedupWindow.
func (k *KeyTable) SetMembers(now time.Time, members Members) {
	if members.equal(k.members) {
		return
	}
	if len(k.members.All) > 0 {
		k.former = append(k.former, formerMembers{Members: k.members, until: now.Add(DedupWindow)})
	}
	k.members = members
}

// Claim decides on a request with a key that this agent owns. departing are the
// endpoints whose agents stop and have therefore left the key to this one.
func (k *KeyTable) Claim(now time.Time, key Key, fingerprint Fingerprint, departing []ticket.EndpointKey) Claim {
	r := k.records[key]
	if k.departing && (r == nil || r.state >= notRun) {
		return Claim{Verdict: Moved}
	}
	if r != nil {
		return r.claim(fingerprint)
	}
	if len(k.records) >= maxRecords || k.answerBytes >= maxAnswerBytes {
		return Claim{Verdict: Full}
	}
	peers := k.peersToQuery(now, key, departing)
	if len(peers) > 0 {
		k.records[key] = &record{state: querying, fingerprint: fingerprint, created: now}
		return Claim{Verdict: QueryPeers, Peers: peers}
	}
	k.records[key] = &record{state: inProgress, fingerprint: fingerprint}
	return Claim{Verdict: Run}
}

func (r *record) claim(fingerprint Fingerprint) Claim {
	switch {
	case r.state == replicated:
		return Claim{Verdict: Uncertain}
	case r.state == notRun:
		r.state, r.fingerprint = inProgress, fingerprint
		return Claim{Verdict: Run}
	case r.fingerprint != fingerprint:
		return Claim{Verdict: Mismatch}
	case r.state == answered && r.answer != nil:
		return Claim{Verdict: Replay, Answer: r.answer}
	case r.state == querying || r.state == inProgress:
		return Claim{Verdict: Wait}
	default:
		return Claim{Verdict: Uncertain}
	}
}

// peersToQuery returns the endpoints to query about a key that has no record:
// all others while this process is fresh, or if it owns the key because a fresh one
// has departed; else those that may have owned the key before. Endpoints whose records
// this agent has been handed are left out.
func (k *KeyTable) peersToQuery(now time.Time, key Key, departing []ticket.EndpointKey) []ticket.EndpointKey {
	if k.fresh(now) {
		return k.otherMembers(now)
	}
	departed := k.Departed(now)
	passed := append(slices.Clone(departed), departing...)
	peers := Without(departing, departed)
	earlier := ownersInTurn(key, k.members.Owners, passed)
	for _, f := range k.former {
		if now.Before(f.until) {
			turn := ownersInTurn(key, f.Owners, passed)
			peers = append(peers, Without(turn, append(departed, k.self))...)
			earlier = append(earlier, turn...)
		}
	}
	if slices.ContainsFunc(earlier, func(e ticket.EndpointKey) bool { return slices.Contains(departed, e) && k.departures[e].fresh }) {
		return k.otherMembers(now)
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// ownersInTurn returns the key's owner; if that is among the passed endpoints, also
// the one that owns the key without it, and so on.
func ownersInTurn(key Key, owners, passed []ticket.EndpointKey) []ticket.EndpointKey {
	var turn []ticket.EndpointKey
	for {
		owner, ok := KeyOwner(key, Without(owners, turn))
		if !ok {
			return turn
		}
		turn = append(turn, owner)
		if !slices.Contains(passed, owner) {
			return turn
		}
	}
}

// Without returns the endpoints that are not among those left out.
func Without(endpoints, leftOut []ticket.EndpointKey) []ticket.EndpointKey {
	return slices.DeleteFunc(slices.Clone(endpoints), func(e ticket.EndpointKey) bool { return slices.Contains(leftOut, e) })
}

// fresh reports whether this process started, or was paused, so recently that it
// may lack records of keys that ran, or that keys of its own may have run at
// another agent since: one that leaves this endpoint out for departedLifetime.
func (k *KeyTable) fresh(now time.Time) bool {
	return now.Sub(k.started) < DedupWindow+departedLifetime
}

func (k *KeyTable) otherMembers(now time.Time) []ticket.EndpointKey {
	leftOut := append(k.Departed(now), k.self)
	var others []ticket.EndpointKey
	sets := append([]formerMembers{{Members: k.members}}, k.former...)
	for _, f := range sets {
		for _, e := range Without(f.All, leftOut) {
			if !slices.Contains(others, e) {
				others = append(others, e)
			}
		}
	}
	return others
}

// FinishRecall decides on a request once the other agents have been queried.
// The request runs only if all of them answered in time, none has known the key
// since before this process started, and none can have lost its records, which
// a fresh one can. The last condition is waived if this process and all of the
// others are fresh: the service has then only just started. A record that is
// younger than this process proves nothing: it may stem from a request
// forwarded to it.
func (k *KeyTable) FinishRecall(now time.Time, key Key, statuses []KeyStatus) Claim {
	r := k.records[key]
	if r == nil || r.state != querying {
		return Claim{Verdict: Uncertain}
	}
	vetoes, fresh := 0, 0
	for _, status := range statuses {
		if status.Unreachable || status.Known && status.Age+recallMargin > r.created.Sub(k.started) {
			vetoes++
		}
		if status.Fresh {
			fresh++
		}
	}
	if now.Sub(r.created) > recallTimeout {
		vetoes++
	}
	allFresh := k.fresh(now) && fresh == len(statuses)
	if vetoes > 0 || fresh > 0 && !allFresh {
		k.setState(now, r, uncertain)
		return Claim{Verdict: Uncertain}
	}
	r.state = inProgress
	return Claim{Verdict: Run}
}

// RecordOutcome records the outcome of a request that ran: its answer, or nil
// if the answer is unknown or too large to store.
func (k *KeyTable) RecordOutcome(now time.Time, key Key, answer Answer) {
	r := k.records[key]
	if r == nil || r.state == answered {
		return
	}
	if answer == nil || answer.Size() > MaxAnswerSize {
		k.setState(now, r, uncertain)
		return
	}
	r.answer = answer
	k.answerBytes += answer.Size()
	k.setState(now, r, answered)
}

// setState changes a record's state and restarts its lifetime.
func (k *KeyTable) setState(now time.Time, r *record, state recordState) {
	r.state = state
	r.expires = now.Add(DedupWindow + recallTimeout)
}

// RecordNotRun records that a claimed request did not run.
func (k *KeyTable) RecordNotRun(now time.Time, key Key) {
	if r := k.records[key]; r != nil && r.state <= inProgress {
		k.setState(now, r, notRun)
	}
}

// Outcome returns the outcome of the first request with a key as a claim of a
// later one; ok is false while the first request is in progress.
func (k *KeyTable) Outcome(key Key, fingerprint Fingerprint) (claim Claim, ok bool) {
	r := k.records[key]
	if r == nil || r.state == notRun {
		return Claim{Verdict: FirstNotRun}, true
	}
	claim = r.claim(fingerprint)
	return claim, claim.Verdict != Wait
}

// AddReplica stores a replica of the record of a key that another agent owns or
// is about to run, and returns what this agent knew about the key before. From
// then on this agent does not run the key. Unreachable in the result means that
// there is no room.
func (k *KeyTable) AddReplica(now time.Time, key Key, query KeyQuery) KeyStatus {
	status := KeyStatus{Fresh: k.fresh(now), Departing: k.handedOver}
	r := k.records[key]
	switch {
	case r == nil || r.state == notRun:
		if r == nil && len(k.records) >= maxRecords {
			status.Unreachable = true
		} else if !k.handedOver {
			k.records[key] = k.newReplica(now, query.Owner)
		}
	case r.state == replicated:
		k.nameReplica(now, r, query, &status)
	default:
		status.Known = true
		status.Age = ownerAge
		if r.state == answered || r.state == uncertain {
			k.setState(now, r, r.state) // the key may run at the owner now, if its record there expired
		}
	}
	return status
}

// nameReplica handles a query about a key of which this agent has a replica. A
// replica that was stored for the same request alone does not mean that the key
// ran; one that was stored for another owner may mean it at any age.
func (k *KeyTable) nameReplica(now time.Time, r *record, query KeyQuery, status *KeyStatus) {
	status.Known = query.ForwardID == 0 || r.forwardID != query.ForwardID
	status.Age = now.Sub(r.created)
	if query.Owner != 0 && r.owner != query.Owner {
		status.Age = ownerAge
		r.owner = 0
	}
	r.forwardID = 0
	k.setState(now, r, replicated)
}

// AddForwarded stores a replica as AddReplica does, for a request that this
// agent forwards to the key's owner.
func (k *KeyTable) AddForwarded(now time.Time, key Key, query KeyQuery) KeyStatus {
	status := k.AddReplica(now, key, KeyQuery{Owner: query.Owner})
	if r := k.records[key]; r != nil && !status.Known && !k.handedOver {
		r.forwardID = query.ForwardID
	}
	return status
}

// RemoveForwarded handles the return of a request that this agent forwarded,
// after a new ticket made this agent the key's owner. A replica that was stored
// for that request alone is removed: it does not mean that the key ran.
func (k *KeyTable) RemoveForwarded(key Key, forwardID ForwardID) {
	r := k.records[key]
	if r != nil && r.state == replicated && forwardID != 0 && r.forwardID == forwardID {
		delete(k.records, key)
	}
}

func (k *KeyTable) newReplica(now time.Time, owner ticket.EndpointKey) *record {
	r := &record{created: now, owner: owner}
	k.setState(now, r, replicated)
	return r
}

// Tick removes expired records and former members. If gap, the time since the
// last tick, shows that the process was paused, the process counts as fresh
// again.
func (k *KeyTable) Tick(now time.Time, gap time.Duration) {
	if gap > PauseThreshold {
		k.started = now
	}
	if now.Sub(k.lastSweep) < sweepInterval {
		return
	}
	k.lastSweep = now
	for key, r := range k.records {
		if r.state >= answered && now.After(r.expires) {
			k.remove(key, r)
		}
	}
	k.former = slices.DeleteFunc(k.former, func(f formerMembers) bool { return now.After(f.until) })
	maps.DeleteFunc(k.departures, func(_ ticket.EndpointKey, d departure) bool { return d.expired(now) })
}

func (k *KeyTable) remove(key Key, r *record) {
	if r.answer != nil {
		k.answerBytes -= r.answer.Size()
	}
	delete(k.records, key)
}

// Records returns the number of stored records.
func (k *KeyTable) Records() int { return len(k.records) }
