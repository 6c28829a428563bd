package ticket

import (
	"slices"
	"time"
)

// State is all that a balancer's ticket slice holds: the register and the
// spread. The control goroutine owns it. Every method takes one message, or
// the passing of time, and returns what follows from it.
type State struct {
	*Register
	*Spread
	clashes []Clash
}

// NewState returns the state of a balancer that knows its seeds only.
func NewState(now time.Time, self Peer, seeds []Peer, random Random) *State {
	return &State{Register: NewRegister(), Spread: NewSpread(now, self, seeds, random)}
}

// Output is what follows from one message.
type Output struct {
	// Calls are to be carried out; the end of each comes back as Answered.
	Calls []Call
	// Joined are the outcomes that bring something new.
	Joined []Joined
	// Refused are published documents newly known not to be in force.
	Refused []Refused
	// Clashes are newly known.
	Clashes []Clash
	// Sealed is how many tickets were sealed here.
	Sealed int
	// Started tells that the node may take traffic from now on.
	Started bool
	// Publish tells that the table that traffic reads must be made anew.
	Publish bool
}

// Joined is one outcome that brought something new.
type Joined struct {
	Service string
	Number  Number
	Outcome Outcome
	// Content is in force; Lost, in a conflict, is the rival's.
	Content, Lost uint64
}

// Offered takes in what the platform publishes.
func (s *State) Offered(now time.Time, m Offered) Output {
	var out Output
	s.Spread.Published(now)
	news := s.join(now, m.Held, nil, &out)
	out.Refused = s.Register.Published(m)
	s.tell(now, "", news, &out)
	s.start(now, &out)
	return out
}

// Asked takes in what a request brings and answers it.
func (s *State) Asked(now time.Time, request Request) (Response, Output) {
	var out Output
	s.heard(now, request.ReadAge)
	news := s.join(now, request.Held, request.Digests, &out)
	response := s.Answer(request)
	response.Starting = !s.Started()
	response.ReadAge = s.ReadAge(now)
	s.tell(now, request.Sender, news, &out)
	return response, out
}

// Answered takes in the end of a call.
func (s *State) Answered(now time.Time, m Answered) Output {
	var out Output
	news := s.join(now, m.Response.Held, m.Response.Better, &out)
	out.Refused = m.Refused
	out.Calls = s.Spread.Answered(now, s.Register, m)
	s.tell(now, m.Call.Peer.Name, news, &out)
	s.start(now, &out)
	return out
}

// Tick does what time alone brings about.
func (s *State) Tick(now time.Time) Output {
	out := Output{Calls: s.Spread.Tick(now, s.Register)}
	sealed := s.Seal(now, s.Confirmed(now))
	out.Sealed = len(sealed)
	s.tell(now, "", sealed, &out)
	s.start(now, &out)
	return out
}

// join takes tickets and digests in, and returns the services of which
// something is newly known.
func (s *State) join(now time.Time, held []Held, digests []Digest, out *Output) []ServiceKey {
	changed := false
	var news []ServiceKey
	take := func(key ServiceKey, outcome Outcome) {
		if outcome == NowSealed {
			news = append(news, key)
		}
		if !outcome.Changed() && !outcome.IsConflict() {
			return
		}
		changed = changed || outcome.Changed()
		news = append(news, key)
		out.Joined = append(out.Joined, s.joined(key, outcome))
	}
	for _, h := range held {
		take(h.Ticket.Key(), s.Join(now, h))
	}
	for _, d := range digests {
		take(d.Service, s.Learn(now, d))
	}
	// A better index of one document may settle a clash otherwise.
	told := len(held) + len(digests)
	if changed || told > 0 && len(s.clashes) > 0 {
		out.Clashes = s.newClashes()
		out.Publish = s.Started()
	}
	return news
}

func (s *State) joined(key ServiceKey, outcome Outcome) Joined {
	entry := s.Entry(key)
	j := Joined{Service: entry.Ticket.Service, Number: entry.Ticket.Number, Outcome: outcome, Content: entry.Content}
	if outcome.IsConflict() {
		j.Lost = entry.Rivals[len(entry.Rivals)-1].Content
	}
	return j
}

func (s *State) newClashes() []Clash {
	clashes := s.Clashes()
	fresh := slices.DeleteFunc(slices.Clone(clashes), func(c Clash) bool { return slices.Contains(s.clashes, c) })
	s.clashes = clashes
	return fresh
}

func (s *State) tell(now time.Time, sender string, news []ServiceKey, out *Output) {
	if len(news) > 0 {
		out.Calls = append(out.Calls, s.News(now, s.Register, sender, news...)...)
	}
}

func (s *State) start(now time.Time, out *Output) {
	if s.Started() || !s.Ready(now, s.Register) {
		return
	}
	out.Started = true
	out.Publish = true
}
