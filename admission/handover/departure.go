package handover

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cactustray/admission"
	"cactustray/admission/admissionpb"
	"cactustray/admission/admissionpb/admissionpbconnect"
	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/ticket"

	"connectrpc.com/connect"
)

const (
	// maxBatchBytes bounds the keys and answers of one request; a single record may
	// exceed it.
	maxBatchBytes = 1 << 20
	// retryInterval is the time between two attempts to hand over all records.
	retryInterval = 200 * time.Millisecond
	// maxStatus is the highest HTTP status code.
	maxStatus = 599
)

// RecordsRefusedError reports that the called agent does not take records over: it stops
// itself, has no room, or received them too late.
type RecordsRefusedError struct{}

func (*RecordsRefusedError) Error() string { return "records of keys not taken over" }

// HandOverRecords applies one message of the calling agent's planned stop.
func (s *Server) HandOverRecords(ctx context.Context, r *admissionpb.HandOverRecordsRequest) (*admissionpb.HandOverRecordsResponse, error) {
	accepted, err := control.Call(ctx, s.loop, func(reply chan<- bool) control.Message {
		return admission.DepartureReceived{Departure: decodeDeparture(r), Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if !accepted {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &RecordsRefusedError{})
	}
	return &admissionpb.HandOverRecordsResponse{}, nil
}

// Departure is the planned stop of this agent.
type Departure struct {
	Endpoint ticket.EndpointKey
	ID       admission.DepartureID
	admission.HandOver
}

// Send sends the departure to one of its receivers, at address; if a call fails, it begins
// again until ctx ends. It fails with *connect.Error if that agent refuses the records, or if
// the last call failed.
func (d Departure) Send(ctx context.Context, client *http.Client, receiver ticket.EndpointKey, address netip.AddrPort) error {
	remote := admissionpbconnect.NewHandOverServiceClient(client, rpc.BaseURL(address.String()))
	for {
		err := d.sendOnce(ctx, remote, receiver)
		code := connect.CodeOf(err)
		if err == nil || code == connect.CodeFailedPrecondition || code == connect.CodeUnimplemented {
			return err
		}
		if control.Sleep(ctx, retryInterval); ctx.Err() != nil {
			return err
		}
	}
}

func (d Departure) sendOnce(ctx context.Context, remote admissionpbconnect.HandOverServiceClient, receiver ticket.EndpointKey) error {
	send := func(batch []admission.HandedRecord, complete bool) error {
		ctx, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
		defer cancel()
		message := admission.Departure{Endpoint: d.Endpoint, ID: d.ID, Complete: complete, Fresh: d.Fresh}
		for _, r := range batch {
			message.Records = append(message.Records, d.For(receiver, r))
		}
		_, err := remote.HandOverRecords(ctx, encodeDeparture(message))
		return err
	}
	if err := send(nil, false); err != nil {
		return err
	}
	for records := d.Records; len(records) > 0; {
		n := batchLength(records)
		if err := send(records[:n], false); err != nil {
			return err
		}
		records = records[n:]
	}
	return send(nil, true)
}

// batchLength returns how many of the records, at least one, fit into one request.
func batchLength(records []admission.HandedRecord) int {
	const overhead = 32 // bytes a record, for its numbers
	size := 0
	for i, r := range records {
		size += overhead + len(r.Key)
		if r.Answer != nil {
			size += r.Answer.Size()
		}
		if size > maxBatchBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

func encodeDeparture(d admission.Departure) *admissionpb.HandOverRecordsRequest {
	m := &admissionpb.HandOverRecordsRequest{Endpoint: uint64(d.Endpoint), Departure: uint64(d.ID), Complete: d.Complete, Fresh: d.Fresh}
	for _, r := range d.Records {
		m.Records = append(m.Records, &admissionpb.KeyRecord{
			Key: string(r.Key), Fingerprint: uint64(r.Fingerprint), Replica: r.Replica, AgeUs: r.Age.Microseconds(), Answer: encodeAnswer(r.Answer),
		})
	}
	return m
}

// encodeAnswer returns nil if there is no answer.
func encodeAnswer(a admission.Answer) *admissionpb.StoredAnswer {
	stored, ok := a.(*admission.StoredAnswer)
	if !ok {
		return nil
	}
	m := &admissionpb.StoredAnswer{Status: uint32(stored.Status), Body: stored.Body}
	for name, values := range stored.Header {
		m.Header = append(m.Header, &admissionpb.HeaderField{Name: name, Values: values})
	}
	return m
}

func decodeDeparture(m *admissionpb.HandOverRecordsRequest) admission.Departure {
	d := admission.Departure{Endpoint: ticket.EndpointKey(m.Endpoint), ID: admission.DepartureID(m.Departure), Complete: m.Complete, Fresh: m.Fresh}
	for _, r := range m.Records {
		d.Records = append(d.Records, admission.HandedRecord{
			Key: admission.Key(r.Key), Fingerprint: admission.Fingerprint(r.Fingerprint),
			Replica: r.Replica, Age: time.Duration(r.AgeUs) * time.Microsecond, Answer: decodeAnswer(r.Answer),
		})
	}
	return d
}

// decodeAnswer returns nil for an answer that is missing or that can't be replayed.
func decodeAnswer(m *admissionpb.StoredAnswer) admission.Answer {
	if m == nil || m.Status < http.StatusOK || m.Status > maxStatus {
		return nil
	}
	a := &admission.StoredAnswer{Status: int(m.Status), Header: make(map[string][]string), Body: m.Body}
	for _, field := range m.Header {
		a.Header[field.Name] = field.Values
	}
	return a
}
