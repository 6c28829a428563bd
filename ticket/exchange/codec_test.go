package exchange

import (
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"reflect"
	"testing"
	"time"

	"cactustray/ticket"
	"cactustray/ticket/ticketpb"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed unless -rapid.seed is given on the command line.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func drawDigests(t *rapid.T) []ticket.Digest {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ticket.Digest {
		return ticket.Digest{
			Service: ticket.ServiceKey(rapid.Uint64().Draw(t, "service")),
			Number:  ticket.Number(rapid.Uint64().Draw(t, "number")),
			Index:   rapid.Uint64().Draw(t, "index"),
			Sealed:  rapid.Bool().Draw(t, "sealed"),
			Content: rapid.Uint64().Draw(t, "content"),
		}
	}), 1, 4).Draw(t, "digests")
}

func sampleRecords(t *rapid.T) []ticket.Record {
	document, err := json.Marshal(ticket.Ticket{
		Number:  ticket.Number(rapid.Uint64Range(1, 9).Draw(t, "number")),
		Service: "orders",
		Address: netip.MustParseAddrPort("192.0.2.1:443"),
		Removed: true,
	})
	must.NoError(t, err)
	record, err := ticket.NewRecord(document, rapid.Uint64().Draw(t, "index"), rapid.Bool().Draw(t, "sealed"))
	must.NoError(t, err)
	return []ticket.Record{record}
}

func TestRequestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := ticket.Request{
			Sender:     "entry-1",
			Summary:    rapid.Uint64().Draw(t, "summary"),
			Summarized: true,
			Buckets:    []ticket.Bucket{ticket.Bucket(rapid.IntRange(0, ticket.Buckets-1).Draw(t, "bucket"))},
			Services:   []ticket.ServiceKey{ticket.ServiceKey(rapid.Uint64().Draw(t, "key"))},
			Digests:    drawDigests(t),
			Records:    sampleRecords(t),
			ReadAge:    time.Duration(rapid.IntRange(0, 1e6).Draw(t, "age")) * time.Millisecond,
		}
		got, refused := DecodeRequest(EncodeRequest(sent))
		must.SliceEmpty(t, refused)
		must.True(t, reflect.DeepEqual(sent, got))
	})
}

func TestResponseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := ticket.Response{
			Summary:      rapid.Uint64().Draw(t, "summary"),
			Sums:         &ticket.Sums{1, 2, ticket.Buckets - 1: 3},
			Records:      sampleRecords(t),
			HigherRanked: drawDigests(t),
			Wanted:       []ticket.ServiceKey{7},
			More:         rapid.Bool().Draw(t, "more"),
			Starting:     rapid.Bool().Draw(t, "starting"),
			ReadAge:      time.Second,
		}
		got, refused := DecodeResponse(EncodeResponse(sent))
		must.SliceEmpty(t, refused)
		must.True(t, reflect.DeepEqual(sent, got))
	})
}

// Decoding tolerates any content of a peer's message: an invalid document is
// refused, an unknown bucket wrapped, a negative age or a wrong number of sums
// ignored.
func TestDecodeInvalidMessages(t *testing.T) {
	request, refused := DecodeRequest(&ticketpb.ExchangeRequest{
		Buckets:       []uint32{1 << 31},
		Held:          []*ticketpb.Held{{Document: []byte("{")}},
		ReadAgeMillis: -1,
	})
	must.Len(t, 1, refused)
	must.SliceEmpty(t, request.Records)
	must.EqOp(t, 0, request.ReadAge)
	must.Less(t, ticket.Buckets, request.Buckets[0])
	response, _ := DecodeResponse(&ticketpb.ExchangeResponse{Sums: []uint64{1}})
	must.Nil(t, response.Sums)
}
