package flow

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// guaranteedPart is the part of the endpoint's work that is divided evenly among the
	// classes whose openings wait; the rest goes to the most urgent ones.
	guaranteedPart = 0.25
	// usedTime is the time constant with which work delivered earlier is forgotten.
	usedTime = time.Second
	// callerTime is how long a caller takes from the acceptance of its flow to its request,
	// and the answer to reach it: two round trips of a few milliseconds.
	callerTime = 10 * time.Millisecond
	// maxClasses bounds the classes that an agent distinguishes; further ones count as
	// unknown. Operators have a few.
	maxClasses = 16
	// classExpiry is after how long without a delivery a class is removed if there are too
	// many, as after changes of the desired state.
	classExpiry = 10 * time.Second
	// refusalAge is how old an opening may be that is refused. Its caller sends a copy after
	// firstCopyDelay, and the opening itself may have been on its way for a part of that.
	refusalAge = firstCopyDelay / 2
	// hopelessInterval is how often the waiting openings are checked for those that cannot
	// be served within their limit.
	hopelessInterval = 10 * time.Millisecond
)

// openingOrder decides in which order waiting openings are delivered to a saturated endpoint.
type openingOrder interface {
	// next returns the index of the opening that is delivered next. waiting is not empty and
	// in the order of the openings' begin.
	next(now Timestamp, waiting []waitingOpening) int
	// delivered records that an opening of the class was delivered.
	delivered(now Timestamp, class Class)
	// hopeless returns the openings that cannot be served within their time limit.
	hopeless(now Timestamp, waiting []waitingOpening) []waitingOpening
	// answered records how long the endpoint worked on a request.
	answered(now Timestamp, class Class, r Request)
	// setSlots sets how many requests the endpoint works on at once.
	setSlots(slots int)
}

// classOrder orders openings by their classes. Those whose requests can be answered in time
// come before those that cannot, and among these the more urgent priority comes first, then
// the newest, which has the most time left. Each class with waiting openings is guaranteed
// its share of guaranteedPart, whatever the others request. Without classes that is newest
// first.
type classOrder struct {
	slots   int
	classes map[Class]*classUse
	// all has the processing times of all classes.
	all processingTime
}

// classUse is the recent use of the endpoint by one class.
type classUse struct {
	processingTime processingTime
	// used is the work of the openings delivered, in seconds, at usedAt; it decays with
	// usedTime.
	used   float64
	usedAt Timestamp
}

func newClassOrder(slots int) *classOrder {
	return &classOrder{slots: slots, classes: make(map[Class]*classUse)}
}

func (o *classOrder) setSlots(slots int) { o.slots = slots }

// key returns the class as which openings of a class count.
func (o *classOrder) key(class Class) Class {
	if !class.IsKnown() || o.classes[class] == nil && len(o.classes) >= maxClasses {
		return Class{}
	}
	return class
}

func (o *classOrder) use(class Class) *classUse {
	key := o.key(class)
	u := o.classes[key]
	if u == nil {
		u = new(classUse)
		o.classes[key] = u
	}
	return u
}

// usedNow returns the work delivered lately.
func (u *classUse) usedNow(now Timestamp) float64 {
	if u.used == 0 {
		return 0
	}
	return u.used * math.Exp(-(now-u.usedAt).Seconds()/usedTime.Seconds())
}

// work returns how long the endpoint works on a request of the class.
func (o *classOrder) work(now Timestamp, class Class) time.Duration {
	if mean := o.use(class).processingTime.now(now); mean > 0 {
		return mean
	}
	return o.all.now(now)
}

// timeToAnswer returns the time from the delivery of an opening to the answer of its request.
// The endpoint has up to saturation requests for each slot.
func (o *classOrder) timeToAnswer(now Timestamp, class Class) time.Duration {
	return callerTime + (saturation-1)*o.all.now(now) + o.work(now, class)
}

// urgency ranks the next opening of each class; the lowest is delivered first.
type urgency struct {
	late     bool
	priority int
	begun    Timestamp
}

func (u urgency) before(other urgency) bool {
	if u.late != other.late {
		return !u.late
	}
	if u.priority != other.priority {
		return u.priority < other.priority
	}
	return u.begun > other.begun
}

// urgency returns the rank of an opening. Of one without a class neither the goal nor the
// priority is known: it is not late, and comes after those with a class.
func (o *classOrder) urgency(now Timestamp, w waitingOpening) urgency {
	class := o.key(w.class)
	if !class.IsKnown() {
		return urgency{priority: math.MaxUint8 + 1, begun: w.begun}
	}
	return urgency{late: now+o.timeToAnswer(now, class)-w.begun > class.Goal, priority: int(class.Priority), begun: w.begun}
}

// head is the newest waiting opening of a class, which is the next of that class.
type head struct {
	class Class
	index int
	urgency
}

// heads returns the next opening of each class.
func (o *classOrder) heads(now Timestamp, waiting []waitingOpening) []head {
	var heads []head
	for i, w := range slices.Backward(waiting) {
		class := o.key(w.class)
		if !slices.ContainsFunc(heads, func(h head) bool { return h.class == class }) {
			heads = append(heads, head{class: class, index: i, urgency: o.urgency(now, w)})
		}
	}
	return heads
}

func (o *classOrder) next(now Timestamp, waiting []waitingOpening) int {
	heads := o.heads(now, waiting)
	guaranteed := o.guaranteed(now, len(heads))
	best, most := heads[0], 0.0
	for _, h := range heads {
		// A class that has received less than its guaranteed share comes before the others.
		missing := max(0, guaranteed-o.use(h.class).usedNow(now))
		if missing > most || missing == most && h.before(best.urgency) {
			best, most = h, missing
		}
	}
	return best.index
}

// guaranteed returns the work, in seconds, that each of a number of classes is owed of what was
// delivered lately.
func (o *classOrder) guaranteed(now Timestamp, classes int) float64 {
	if classes == 1 {
		return 0
	}
	total := 0.0
	for _, u := range o.classes {
		total += u.usedNow(now)
	}
	return total * guaranteedPart / float64(classes)
}

func (o *classOrder) delivered(now Timestamp, class Class) {
	if len(o.classes) >= maxClasses && o.classes[class] == nil {
		maps.DeleteFunc(o.classes, func(_ Class, u *classUse) bool { return now-u.usedAt > classExpiry })
	}
	u := o.use(class)
	u.used, u.usedAt = u.usedNow(now)+max(o.work(now, class), time.Millisecond).Seconds(), now
}

func (o *classOrder) answered(now Timestamp, class Class, r Request) {
	o.all.ended(now, r, o.slots)
	o.use(class).processingTime.ended(now, r, o.slots)
}

// hopeless returns the openings that could not be served within their limit even if the
// endpoint served only those of their class that come before them. It leaves out those whose
// callers may have sent a copy: another endpoint may have accepted it, and a flow that an
// endpoint holds must not be reset.
func (o *classOrder) hopeless(now Timestamp, waiting []waitingOpening) []waitingOpening {
	var hopeless []waitingOpening
	ahead := make(map[Class]int, len(o.classes))
	for _, w := range slices.Backward(waiting) {
		class := o.key(w.class)
		if !class.IsKnown() {
			continue
		}
		wait := time.Duration(ahead[class]) * o.work(now, class) / time.Duration(max(o.slots, 1))
		if now+wait+o.timeToAnswer(now, class)-w.begun <= class.Limit {
			ahead[class]++
		} else if now-w.begun < refusalAge {
			hopeless = append(hopeless, w)
		}
	}
	return hopeless
}

// refuseHopeless removes the waiting openings that cannot be served within their limit, and
// returns the resets for their callers. Nothing of them has run.
func (t *AgentTable) refuseHopeless(now Timestamp) []AdmittedOpening {
	if now-t.waiting.checkedAt < hopelessInterval {
		return nil
	}
	t.waiting.checkedAt = now
	var refused []AdmittedOpening
	for _, w := range t.waiting.order.hopeless(now, t.waiting.flows) {
		t.waiting.remove(w.key)
		if r, known := t.flows[w.key]; !known || r.state != delayed {
			continue
		}
		t.remove(w.key)
		t.waiting.refused[BandOf(w.class)]++
		refused = append(refused, AdmittedOpening{Flow: w.key, Verdict: Verdict{Action: SendReset, Reason: OpeningRefused, Reset: Reset{Flow: w.key}}})
	}
	return refused
}

// Band groups the classes that metrics tell apart.
type Band uint8

// BandCount is the number of bands.
const BandCount = 6

var bandNames = [BandCount]string{"priority_0", "priority_1", "priority_2", "priority_3", "priority_4_up", "no_class"}

func (b Band) String() string { return bandNames[min(b, BandCount-1)] }

// BandOf returns the band of a class.
func BandOf(c Class) Band {
	const lastPriority = BandCount - 2
	if !c.IsKnown() {
		return BandCount - 1
	}
	return Band(min(c.Priority, lastPriority))
}

// Overload counts the openings that wait now and those that were refused so far, by band.
type Overload struct{ Waiting, Refused [BandCount]int64 }

// Overload returns the counts of waiting and refused openings.
func (t *AgentTable) Overload() Overload {
	counts := Overload{Refused: t.waiting.refused}
	for _, w := range t.waiting.flows {
		counts.Waiting[BandOf(w.class)]++
	}
	return counts
}
