package ticket

import (
	"slices"
	"time"
)

// State is the whole state of a balancer's ticket slice: the register and the
// gossip with peers. The control goroutine owns it. Every method handles one
// message, or the passing of time, and returns its effects.
type State struct {
	*Register
	*Gossip
	conflicts []AddressConflict
}

// NewState returns the state of a balancer that knows only its seeds.
func NewState(now time.Time, self Peer, seeds []Peer, random Random) *State {
	return &State{Register: NewRegister(), Gossip: NewGossip(now, self, seeds, random)}
}

// Output is the effect of one message or tick.
type Output struct {
	// Calls are to be made; the result of each is returned by a CallEnded
	// message.
	Calls []Call
	// Joined are the outcomes that changed something.
	Joined []Joined
	// Refused are published documents that are not in force, if not reported
	// before, or invalid tickets of a response.
	Refused []Refused
	// AddressConflicts are the address conflicts not reported before.
	AddressConflicts []AddressConflict
	// Sealed is how many tickets this node sealed.
	Sealed int
	// Started is true if the node may accept traffic from now on.
	Started bool
	// Publish is true if the table that traffic goroutines read must be
	// rebuilt.
	Publish bool
}

// Joined is an outcome that changed something.
type Joined struct {
	Service string
	Number  Number
	Outcome Outcome
	// Content is the hash of the content in force; ConflictingContent, in a
	// conflict, that of a content that lost.
	Content, ConflictingContent uint64
}

// Update handles tickets read from the platform.
func (s *State) Update(now time.Time, m Update) Output {
	var out Output
	s.Gossip.RecordRead(now)
	updated := s.join(now, m.Records, nil, &out)
	out.Refused = s.Register.RecordPublished(m)
	s.announce(now, "", updated, &out)
	s.checkStarted(now, &out)
	return out
}

// Query applies the tickets and digests of a request and returns its response.
func (s *State) Query(now time.Time, request Request) (Response, Output) {
	var out Output
	s.recordReadAge(now, request.ReadAge)
	updated := s.join(now, request.Records, request.Digests, &out)
	response := s.Answer(request)
	response.Starting = !s.Started()
	response.ReadAge = s.ReadAge(now)
	s.announce(now, request.Sender, updated, &out)
	return response, out
}

// CallEnded handles the result of a call.
func (s *State) CallEnded(now time.Time, m CallEnded) Output {
	var out Output
	updated := s.join(now, m.Response.Records, m.Response.HigherRanked, &out)
	out.Refused = m.Refused
	out.Calls = s.Gossip.CallEnded(now, s.Register, m)
	s.announce(now, m.Call.Peer.Name, updated, &out)
	s.checkStarted(now, &out)
	return out
}

// Tick handles the passing of time.
func (s *State) Tick(now time.Time) Output {
	out := Output{Calls: s.Gossip.Tick(now, s.Register)}
	sealed := s.Seal(now, s.Confirmed(now))
	out.Sealed = len(sealed)
	s.announce(now, "", sealed, &out)
	s.checkStarted(now, &out)
	return out
}

// join applies tickets and digests, and returns the services whose changes must
// be announced.
func (s *State) join(now time.Time, records []Record, digests []Digest, out *Output) []ServiceKey {
	changed := false
	var updated []ServiceKey
	record := func(key ServiceKey, outcome Outcome) {
		if outcome == NowSealed {
			updated = append(updated, key)
		}
		if !outcome.Changed() && !outcome.IsConflict() {
			return
		}
		changed = changed || outcome.Changed()
		updated = append(updated, key)
		out.Joined = append(out.Joined, s.joined(key, outcome))
	}
	for _, r := range records {
		record(r.Ticket.Key(), s.Join(now, r))
	}
	for _, d := range digests {
		record(d.Service, s.JoinDigest(now, d))
	}
	// A lower index of a known document can also change the owner of an
	// address.
	received := len(records) + len(digests)
	if changed || received > 0 && len(s.conflicts) > 0 {
		out.AddressConflicts = s.newAddressConflicts()
		out.Publish = s.Started()
	}
	return updated
}

func (s *State) joined(key ServiceKey, outcome Outcome) Joined {
	entry := s.Entry(key)
	j := Joined{Service: entry.Ticket.Service, Number: entry.Ticket.Number, Outcome: outcome, Content: entry.Content}
	switch outcome {
	case ConflictWon:
		j.ConflictingContent = entry.Conflicting[0].Content // Register.replace puts it first
	case ConflictLost:
		j.ConflictingContent = entry.Conflicting[len(entry.Conflicting)-1].Content
	}
	return j
}

func (s *State) newAddressConflicts() []AddressConflict {
	conflicts := s.AddressConflicts()
	fresh := slices.DeleteFunc(slices.Clone(conflicts), func(c AddressConflict) bool { return slices.Contains(s.conflicts, c) })
	s.conflicts = conflicts
	return fresh
}

func (s *State) announce(now time.Time, sender string, updated []ServiceKey, out *Output) {
	if len(updated) > 0 {
		out.Calls = append(out.Calls, s.Announce(now, s.Register, sender, updated...)...)
	}
}

func (s *State) checkStarted(now time.Time, out *Output) {
	if s.Started() || !s.Ready(now, s.Register) {
		return
	}
	out.Started = true
	out.Publish = true
}
