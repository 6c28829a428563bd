package admission

import (
	"slices"
	"time"

	"cactustray/ticket"
)

// departedLifetime is how long an endpoint is left out as an owner of keys after its
// agent has stopped as planned. Until then the agent may have started again, or a
// ticket without the endpoint is in force.
const departedLifetime = 30 * time.Second

// DepartureID identifies the planned stop of one process.
type DepartureID uint64

// departure is the planned stop of another endpoint's agent. It is complete once this
// agent has all of its records.
type departure struct {
	id       DepartureID
	since    time.Time
	complete bool
	// fresh is true if the agent may have lacked records of keys itself.
	fresh bool
}

func (d departure) expired(now time.Time) bool { return now.Sub(d.since) >= departedLifetime }

// HandedRecord is a record that a stopping agent hands to another agent.
type HandedRecord struct {
	Key         Key
	Fingerprint Fingerprint
	// Answer is the stored answer; nil if it is unknown, or if the receiver is not
	// the key's next owner.
	Answer Answer
	// Replica is true if the sender had a replica only, of age Age.
	Replica bool
	Age     time.Duration
}

// HandOver is what a stopping agent hands over.
type HandOver struct {
	// Receivers are the endpoints whose agents get the records.
	Receivers []ticket.EndpointKey
	// Records are all records, each with its answer.
	Records []HandedRecord
	// Owners are the endpoints that can own the keys from now on.
	Owners []ticket.EndpointKey
	// Fresh is true if this agent may lack records of keys.
	Fresh bool
}

// For returns the record as one receiver gets it: an answer goes to the key's next owner
// alone, all others learn that the key may have run.
func (h HandOver) For(receiver ticket.EndpointKey, r HandedRecord) HandedRecord {
	if next, _ := KeyOwner(r.Key, h.Owners); next != receiver {
		r.Answer = nil
	}
	return r
}

// Departure is one of the messages that a stopping agent sends to another agent: a first
// one without records, those with the records, and a last one with Complete set.
type Departure struct {
	Endpoint ticket.EndpointKey
	ID       DepartureID
	Records  []HandedRecord
	Complete bool
	// Fresh is true if the sender may lack records of keys.
	Fresh bool
}

// Depart begins the planned stop of this agent. From now on it claims no key that it
// has no outcome of.
func (k *KeyTable) Depart() { k.departing = true }

// HandOver returns the records to hand over; this agent stores no replicas from then on. A
// key whose first request is in progress counts as one that may have run; keys that did not
// run are left out.
func (k *KeyTable) HandOver(now time.Time) HandOver {
	k.handedOver = true
	departed := append(k.Departed(now), k.self)
	h := HandOver{
		Receivers: Without(k.members.All, departed), Owners: Without(k.members.Owners, departed), Fresh: k.fresh(now),
	}
	for key, r := range k.records {
		if r.state == notRun {
			continue
		}
		handed := HandedRecord{Key: key, Fingerprint: r.fingerprint, Answer: r.answer, Replica: r.state == replicated}
		if handed.Replica {
			handed.Age = now.Sub(r.created)
		}
		h.Records = append(h.Records, handed)
	}
	return h
}

// ReceiveDeparture applies one message of another agent's planned stop. ok is false if
// this agent can't take the records over: it stops itself, has no room, or received the
// messages so late that the endpoint may have an agent again.
func (k *KeyTable) ReceiveDeparture(now time.Time, m Departure) (ok bool) {
	if k.departing || m.Endpoint == k.self {
		return false
	}
	d, known := k.departures[m.Endpoint]
	if !known || d.id != m.ID {
		if m.Complete {
			return false
		}
		d = departure{id: m.ID, since: now}
	}
	for _, r := range m.Records {
		if !k.adopt(now, r) {
			return false
		}
	}
	d.complete, d.fresh = d.complete || m.Complete, m.Fresh
	k.departures[m.Endpoint] = d
	return !d.expired(now)
}

// adopt stores a record that a stopping agent has handed over, or returns false if there is
// no room. What this agent decided itself stands.
func (k *KeyTable) adopt(now time.Time, handed HandedRecord) bool {
	r := k.records[handed.Key]
	if r == nil {
		if len(k.records) >= maxRecords {
			return false
		}
		r = &record{state: replicated, created: now.Add(-handed.Age)}
		k.records[handed.Key] = r
	}
	switch {
	case handed.Replica && r.state == replicated:
		r.forwardID, r.owner = 0, 0
		if created := now.Add(-handed.Age); created.Before(r.created) {
			r.created = created
		}
		k.setState(now, r, replicated)
	case handed.Replica, r.state == inProgress:
	case r.state == answered, r.state == uncertain:
		k.setState(now, r, r.state)
	case handed.Answer != nil && r.state != querying && k.answerBytes < maxAnswerBytes:
		r.fingerprint = handed.Fingerprint
		r.state = inProgress
		k.RecordOutcome(now, handed.Key, handed.Answer)
	default:
		r.fingerprint = handed.Fingerprint
		k.setState(now, r, uncertain)
	}
	return true
}

// Departed returns the endpoints whose agents have stopped as planned and have
// handed all their records to this one. They own no keys meanwhile.
func (k *KeyTable) Departed(now time.Time) []ticket.EndpointKey {
	var departed []ticket.EndpointKey
	for e, d := range k.departures {
		if d.complete && !d.expired(now) {
			departed = append(departed, e)
		}
	}
	slices.Sort(departed)
	return departed
}
