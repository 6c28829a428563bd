package document

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
)

type part struct {
	Count  uint8  `json:"count"`
	Secret string `json:"secret" secret:""`
}

type whole struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Parts   []part         `json:"parts"`
	Extra   *part          `json:"extra"`
}

func TestDecodeReportsAllProblems(t *testing.T) {
	var w whole
	problems := Decode([]byte(`{
		"name": 7, "address": "nowhere", "colour": "red", "shade": 1,
		"parts": [{"count": 300}, {"secret": 5}, "x"], "extra": {"size": 1}}`), &w)
	fields := make([]string, len(problems))
	for i, p := range problems {
		fields[i] = p.Field
	}
	must.Eq(t, []string{"address", "colour", "extra.size", "name", "parts[0].count", "parts[1].secret", "parts[2]", "shade"}, fields)
	must.EqOp(t, Hidden, problems[5].Value)
	must.EqOp(t, Hidden, problems[1].Value) // the value of a misspelt key may be a secret
}

func TestDecodeStoresValidValues(t *testing.T) {
	var w whole
	must.SliceEmpty(t, Decode([]byte(`{"name": "n", "address": "192.0.2.1:1", "parts": [{"count": 2}], "extra": null}`), &w))
	must.Eq(t, whole{Name: "n", Address: netip.MustParseAddrPort("192.0.2.1:1"), Parts: []part{{Count: 2}}}, w)
}

func TestDecodeReportsLineOfSyntaxError(t *testing.T) {
	problems := Decode([]byte("{\n\"name\": \"n\"\n]"), new(whole))
	must.SliceLen(t, 1, problems)
	must.EqOp(t, "line 3", problems[0].Value)
}

// A field that failed to decode is not reported again by the check, nor are its parts.
func TestMergeOmitsProblemsInUndecodedFields(t *testing.T) {
	decoding := []Problem{{Field: "parts"}}
	must.SliceLen(t, 2, Merge(decoding, []Problem{{Field: "parts[0].count"}, {Field: "name"}}))
	must.SliceLen(t, 1, Merge([]Problem{{Field: rootField}}, []Problem{{Field: "name"}}))
}
