package exchange

import (
	"time"

	"cactustray/ticket"
	"cactustray/ticket/ticketpb"
)

// EncodeRequest returns the wire message of a request.
func EncodeRequest(r ticket.Request) *ticketpb.ExchangeRequest {
	encoded := &ticketpb.ExchangeRequest{
		Sender:        r.Sender,
		Held:          encodeRecords(r.Records),
		Digests:       encodeDigests(r.Digests),
		Services:      encodeKeys(r.Services),
		ReadAgeMillis: r.ReadAge.Milliseconds(),
	}
	if r.Summarized {
		encoded.Summary = &r.Summary
	}
	for _, b := range r.Buckets {
		encoded.Buckets = append(encoded.Buckets, uint32(b))
	}
	return encoded
}

// DecodeRequest returns the request of a wire message, and the invalid tickets
// in it.
func DecodeRequest(encoded *ticketpb.ExchangeRequest) (ticket.Request, []ticket.Refused) {
	records, refused := decodeRecords(encoded.Held)
	r := ticket.Request{
		Sender:     encoded.Sender,
		Summary:    encoded.GetSummary(),
		Summarized: encoded.Summary != nil,
		Services:   decodeKeys(encoded.Services),
		Digests:    decodeDigests(encoded.Digests),
		Records:    records,
		ReadAge:    decodeAge(encoded.ReadAgeMillis),
	}
	for _, b := range encoded.Buckets {
		r.Buckets = append(r.Buckets, ticket.Bucket(b%ticket.Buckets))
	}
	return r, refused
}

// EncodeResponse returns the wire message of a response.
func EncodeResponse(r ticket.Response) *ticketpb.ExchangeResponse {
	encoded := &ticketpb.ExchangeResponse{
		Held:          encodeRecords(r.Records),
		Wanted:        encodeKeys(r.Wanted),
		Summary:       r.Summary,
		Digests:       encodeDigests(r.HigherRanked),
		More:          r.More,
		Starting:      r.Starting,
		ReadAgeMillis: r.ReadAge.Milliseconds(),
	}
	if r.Sums != nil {
		encoded.Sums = r.Sums[:]
	}
	return encoded
}

// DecodeResponse returns the response of a wire message, and the invalid
// tickets in it.
func DecodeResponse(encoded *ticketpb.ExchangeResponse) (ticket.Response, []ticket.Refused) {
	records, refused := decodeRecords(encoded.Held)
	r := ticket.Response{
		Records:      records,
		Wanted:       decodeKeys(encoded.Wanted),
		Summary:      encoded.Summary,
		HigherRanked: decodeDigests(encoded.Digests),
		More:         encoded.More,
		Starting:     encoded.Starting,
		ReadAge:      decodeAge(encoded.ReadAgeMillis),
	}
	if len(encoded.Sums) == ticket.Buckets {
		r.Sums = (*ticket.Sums)(encoded.Sums)
	}
	return r, refused
}

func decodeAge(millis int64) time.Duration { return time.Duration(max(millis, 0)) * time.Millisecond }

func decodeRecords(encoded []*ticketpb.Held) (records []ticket.Record, refused []ticket.Refused) {
	for _, h := range encoded {
		parsed, err := ticket.NewRecord(h.Document, h.Index, h.Sealed)
		if err != nil {
			refused = append(refused, ticket.Refused{Cause: err})
			continue
		}
		records = append(records, parsed)
	}
	return records, refused
}

func encodeRecords(records []ticket.Record) []*ticketpb.Held {
	encoded := make([]*ticketpb.Held, len(records))
	for i, record := range records {
		encoded[i] = &ticketpb.Held{Document: record.Document, Index: record.Index, Sealed: record.Sealed}
	}
	return encoded
}

func encodeDigests(digests []ticket.Digest) []*ticketpb.Digest {
	encoded := make([]*ticketpb.Digest, len(digests))
	for i, d := range digests {
		encoded[i] = &ticketpb.Digest{
			Service: uint64(d.Service),
			Number:  uint64(d.Number),
			Index:   d.Index,
			Sealed:  d.Sealed,
			Content: d.Content,
		}
	}
	return encoded
}

func decodeDigests(encoded []*ticketpb.Digest) []ticket.Digest {
	digests := make([]ticket.Digest, len(encoded))
	for i, d := range encoded {
		digests[i] = ticket.Digest{
			Service: ticket.ServiceKey(d.Service),
			Number:  ticket.Number(d.Number),
			Index:   d.Index,
			Sealed:  d.Sealed,
			Content: d.Content,
		}
	}
	return digests
}

func encodeKeys(keys []ticket.ServiceKey) []uint64 {
	encoded := make([]uint64, len(keys))
	for i, key := range keys {
		encoded[i] = uint64(key)
	}
	return encoded
}

func decodeKeys(encoded []uint64) []ticket.ServiceKey {
	keys := make([]ticket.ServiceKey, len(encoded))
	for i, key := range encoded {
		keys[i] = ticket.ServiceKey(key)
	}
	return keys
}
