package admission

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
)

const (
	// KeepTime is the window within which a key never runs a second time.
	DedupWindow = 2 * time.Minute
	// MaxAnswer bounds one kept answer, in bytes.
	MaxAnswerSize = 64 << 10
	sweepInterval = time.Second
	// recallTime bounds asking others about a key; records outlive KeepTime
	// by it, so that what was asked in the window is answered from it.
	recallTimeout = 10 * time.Second
	// recallMargin covers the rounding of ages.
	recallMargin = time.Millisecond
	// keptItself is the age that a former keeper tells.
	ownerAge = time.Duration(math.MaxInt64) / 2
	// maxRecords and maxKept bound the keeper's memory.
	maxRecords     = 1 << 16
	maxAnswerBytes = 32 << 20
)

// Key is the caller's name for a request that must run at most once.
type Key string

// PassID tells requests apart that agents pass on to keepers; 0 is none.
type ForwardID uint64

// Fingerprint tells whether two requests with one key are the same request.
type Fingerprint uint64

// Answer is a kept answer of the backend server.
type Answer interface {
	// Size is its length in bytes.
	Size() int
}

// KeeperOf returns the endpoint that keeps a key's outcome: the highest of a
// rendezvous hash, so that a change moves only the keys it must.
func KeeperOf(key Key, endpoints []ticket.EndpointKey) (owner ticket.EndpointKey, ok bool) {
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

// ClaimVerdict is what becomes of a request with a key.
type ClaimVerdict int

const (
	// Run: the request runs now; its outcome must be settled.
	Run ClaimVerdict = iota
	// Wait: the key's first request is in progress.
	Wait
	// Replay: the kept answer is the answer.
	Replay
	// Mismatch: the key belongs to another request.
	Mismatch
	// Uncertain: the key may have run; its answer is not known.
	Uncertain
	// Full: the table of records has no room.
	Full
	// AskOthers: other endpoints must be asked before the request may run.
	QueryPeers
	// FirstNotRun: the key's first request, waited for, was not run.
	FirstNotRun
)

// Claim is the answer to a request with a key.
type Claim struct {
	Verdict ClaimVerdict
	// Answer is set for Replay.
	Answer Answer
	// Ask are the endpoints to ask, for AskOthers.
	Peers []ticket.EndpointKey
}

// Memory is what another agent knows of a key.
type KeyStatus struct {
	Known bool
	// Age is how long it has known the key; without bound when it kept the
	// key itself.
	Age time.Duration
	// Fresh tells that it runs for less than KeepTime.
	Fresh bool
	// Unreached tells that it gave no answer.
	Unreachable bool
}

type recordState int

const (
	querying recordState = iota
	inProgress
	answered
	uncertain
	// notRun records may run: this agent kept the key all the time.
	notRun
	// witnessed records were passed on to a keeper elsewhere.
	replicated
)

type record struct {
	state       recordState
	fingerprint Fingerprint
	// asked is when others were asked about the key, or when it was first
	// witnessed.
	created time.Time
	// pass is the request that a witnessed record is of, if no other one and
	// no keeper has named the key to this agent.
	forwardID ForwardID
	answer    Answer
	expires   time.Time
}

// Members are the endpoints of a service's ticket.
type Members struct {
	// All may have seen a key.
	All []ticket.EndpointKey
	// Keepers are those that keep outcomes: all that don't drain.
	Keepers []ticket.EndpointKey
}

func (m Members) equal(other Members) bool {
	return slices.Equal(m.All, other.All) && slices.Equal(m.Keepers, other.Keepers)
}

type formerMembers struct {
	Members
	until time.Time
}

// Keeper holds the outcomes of keyed requests. Each key that runs is known to
// at least two agents, the keeper and a witness, so that the loss of one of
// them is noticed. The control goroutine owns it.
type Keeper struct {
	self        ticket.EndpointKey
	started     time.Time
	members     Members
	former      []formerMembers
	records     map[Key]*record
	answerBytes int
	lastSweep   time.Time
}

// NewKeeper returns a keeper that remembers nothing from before now.
func NewKeeper(now time.Time, self ticket.EndpointKey) *Keeper {
	return &Keeper{self: self, started: now, records: make(map[Key]*record)}
}

// SetMembers takes the service's endpoints in; those before stay known for
// KeepTime.
func (k *Keeper) SetMembers(now time.Time, members Members) {
	if members.equal(k.members) {
		return
	}
	if len(k.members.All) > 0 {
		k.former = append(k.former, formerMembers{Members: k.members, until: now.Add(DedupWindow)})
	}
	k.members = members
}

// Claim decides on a request with a key.
func (k *Keeper) Claim(now time.Time, key Key, fingerprint Fingerprint) Claim {
	if r := k.records[key]; r != nil {
		return r.claim(fingerprint)
	}
	if len(k.records) >= maxRecords || k.answerBytes >= maxAnswerBytes {
		return Claim{Verdict: Full}
	}
	peers := k.peersToQuery(now, key)
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

// doubts returns whom to ask about a key that has no record: everyone while
// this process is fresh, else those that kept the key lately.
func (k *Keeper) peersToQuery(now time.Time, key Key) []ticket.EndpointKey {
	if k.fresh(now) {
		return k.otherMembers()
	}
	var peers []ticket.EndpointKey
	for _, f := range k.former {
		owner, _ := KeeperOf(key, f.Keepers)
		if now.Before(f.until) && owner != k.self && !slices.Contains(peers, owner) {
			peers = append(peers, owner)
		}
	}
	return peers
}

func (k *Keeper) fresh(now time.Time) bool { return now.Sub(k.started) < DedupWindow }

func (k *Keeper) otherMembers() []ticket.EndpointKey {
	var others []ticket.EndpointKey
	sets := append([]formerMembers{{Members: k.members}}, k.former...)
	for _, f := range sets {
		for _, e := range f.All {
			if e != k.self && !slices.Contains(others, e) {
				others = append(others, e)
			}
		}
	}
	return others
}

// Recalled decides once the others have been asked. The request runs only when
// nobody knows the key from before this process and no memory of it can have
// been lost, or when every agent of the service is fresh: then the service has
// only just started. Who passed the key on to this process says nothing new.
func (k *Keeper) Recalled(now time.Time, key Key, statuses []KeyStatus) Claim {
	r := k.records[key]
	if r == nil || r.state != querying {
		return Claim{Verdict: Uncertain}
	}
	vetoes, fresh := 0, 0
	for _, m := range statuses {
		if m.Unreachable || m.Known && m.Age+recallMargin > r.created.Sub(k.started) {
			vetoes++
		}
		if m.Fresh {
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

// Settled takes the outcome of a request that ran in: its answer, or nil when
// the answer is not known or too large to keep.
func (k *Keeper) Settled(now time.Time, key Key, answer Answer) {
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

func (k *Keeper) setState(now time.Time, r *record, state recordState) {
	r.state = state
	r.expires = now.Add(DedupWindow + recallTimeout)
}

// Dropped takes in that a claimed request was not run.
func (k *Keeper) Dropped(now time.Time, key Key) {
	if r := k.records[key]; r != nil && r.state <= inProgress {
		k.setState(now, r, notRun)
	}
}

// Await returns what became of a key's first request; ok is false while it is
// in progress.
func (k *Keeper) Await(key Key, fingerprint Fingerprint) (claim Claim, ok bool) {
	r := k.records[key]
	if r == nil || r.state == notRun {
		return Claim{Verdict: FirstNotRun}, true
	}
	claim = r.claim(fingerprint)
	return claim, claim.Verdict != Wait
}

// Witness remembers a key that another agent keeps or is about to run, and
// returns what was known of it before. From then on this agent does not run
// it. Unreached means that there is no room.
func (k *Keeper) AddReplica(now time.Time, key Key) KeyStatus {
	status := KeyStatus{Fresh: k.fresh(now)}
	r := k.records[key]
	switch {
	case r == nil && len(k.records) >= maxRecords:
		status.Unreachable = true
		return status
	case r == nil:
		k.records[key] = k.newReplica(now)
	case r.state == notRun:
		k.records[key] = k.newReplica(now)
	case r.state == replicated:
		status.Known = true
		status.Age = now.Sub(r.created)
		r.forwardID = 0
		k.setState(now, r, replicated)
	default:
		status.Known = true
		status.Age = ownerAge
	}
	return status
}

// PassOn remembers a key as Witness does, for a request that this agent passes on
// to the key's keeper.
func (k *Keeper) PassOn(now time.Time, key Key, forwardID ForwardID) KeyStatus {
	status := k.AddReplica(now, key)
	if r := k.records[key]; r != nil && !status.Known {
		r.forwardID = forwardID
	}
	return status
}

// CameBack takes in that a request that this agent passed on has come back,
// since a ticket made this agent the key's keeper. What the agent knows of the
// key by that request alone is forgotten: it does not tell that the key ran.
func (k *Keeper) CameBack(key Key, forwardID ForwardID) {
	r := k.records[key]
	if r != nil && r.state == replicated && forwardID != 0 && r.forwardID == forwardID {
		delete(k.records, key)
	}
}

func (k *Keeper) newReplica(now time.Time) *record {
	r := &record{created: now}
	k.setState(now, r, replicated)
	return r
}

// Tick forgets what is older than KeepTime. After a pause this process counts
// as fresh.
func (k *Keeper) Tick(now time.Time, gap time.Duration) {
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
}

func (k *Keeper) remove(key Key, r *record) {
	if r.answer != nil {
		k.answerBytes -= r.answer.Size()
	}
	delete(k.records, key)
}

// Records returns how many keys are remembered.
func (k *Keeper) Records() int { return len(k.records) }
