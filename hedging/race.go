package hedging

// Copy is one of the two copies of a request.
type Copy int

const (
	// First is the copy that every request has.
	First Copy = iota
	// Second is the copy that is sent after the delay.
	Second
)

func (c Copy) other() Copy { return 1 - c }

// Ending describes how far a copy has come. The order is that of preference if both copies
// have ended.
type Ending int

const (
	// Open: nothing is known of the answer yet.
	Open Ending = iota
	// NotRun: the copy has not run.
	NotRun
	// Lost: the copy may have run, but no answer or only a part of it arrived.
	Lost
	// Refused: the answer is a refusal or failure of the backend server.
	Refused
	// Long: an answer whose rest has not been read, since it is longer than what is held back
	// for the race.
	Long
	// Whole: the whole answer has arrived.
	Whole
)

// Race decides which of two copies a caller gets the answer of. The zero value is a race
// whose second copy has not been sent.
type Race struct{ endings [2]Ending }

// End records how a copy ended. decided is true if the caller gets the answer, or the
// failure, of the winner; the other copy is then to be cancelled. While the other copy is
// open, a quick refusal or a broken answer waits for it. A long answer does not: its caller
// would get it after the slower of both copies. If it breaks off later, it is aborted as
// without copies.
func (r *Race) End(c Copy, ending Ending) (winner Copy, decided bool) {
	r.endings[c] = ending
	other := r.endings[c.other()]
	switch {
	case ending >= Long:
		return c, true
	case other == Open:
		return c, false
	case ending > other:
		return c, true
	case ending < other:
		return c.other(), true
	}
	return First, true
}

// Ended returns how a copy has ended.
func (r *Race) Ended(c Copy) Ending { return r.endings[c] }
