package fold

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

func service(name string) *configpb.Resource {
	return &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: name}}}
}

func route(name, prefix, service string) *configpb.Resource {
	r := &configpb.Route{Name: name, PathPrefix: prefix, Service: service}
	return &configpb.Resource{Kind: &configpb.Resource_Route{Route: r}}
}

func contract(customer string, rate float64) *configpb.Resource {
	c := &configpb.Contract{Customer: customer, RatePerSecond: rate, MaxWaitMs: 1000}
	return &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}}
}

// apiKey returns an API key whose digest consists of one repeated byte.
func apiKey(id, customer string, digest byte) *configpb.Resource {
	k := &configpb.ApiKey{Id: id, Customer: customer, Digest: bytes.Repeat([]byte{digest}, 32)}
	return &configpb.Resource{Kind: &configpb.Resource_ApiKey{ApiKey: k}}
}

func set(r *configpb.Resource, replaces uint64) *configpb.Change {
	return &configpb.Change{Resource: r, Replaces: replaces}
}

func del(r *configpb.Resource, replaces uint64) *configpb.Change {
	return &configpb.Change{Resource: r, Replaces: replaces, Delete: true}
}

func bundle(id, author string, changes ...*configpb.Change) []byte {
	data, err := EncodeRecord(&configpb.Bundle{PublishId: id, Author: author, Changes: changes})
	if err != nil {
		panic(err)
	}
	return data
}

// log returns the records of a stream whose first offset is 1.
func log(data ...[]byte) []eventlog.Record {
	records := make([]eventlog.Record, len(data))
	for i, d := range data {
		records[i] = eventlog.Record{Offset: uint64(i + 1), Data: d}
	}
	return records
}

func foldAll(t *testing.T, data ...[]byte) (*State, []Verdict) {
	t.Helper()
	s, verdicts, err := ApplyAll(Empty(), log(data...))
	must.NoError(t, err)
	return s, verdicts
}

func encoded(s *State) string {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Encode())
	if err != nil {
		panic(err)
	}
	return string(b)
}

// drawLog draws records that conflict often: few names and publish ids, revisions that are
// current, stale or invalid, and some data that is not a record.
func drawLog(t *rapid.T) []eventlog.Record {
	var records []eventlog.Record
	s := Empty()
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		data := drawRecord(t, s)
		records = append(records, eventlog.Record{Offset: s.Offset + 1, Data: data})
		var err error
		s, _, err = Apply(s, s.Offset+1, data)
		if err != nil {
			t.Fatal(err)
		}
	}
	return records
}

func drawRecord(t *rapid.T, s *State) []byte {
	if rapid.IntRange(0, 9).Draw(t, "garbage") == 0 {
		return append([]byte{0xff}, rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "bytes")...)
	}
	var changes []*configpb.Change
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		changes = append(changes, drawChange(t, s))
	}
	id := fmt.Sprintf("id-%d", rapid.IntRange(0, 60).Draw(t, "id"))
	return bundle(id, rapid.SampledFrom([]string{"ann", "bo"}).Draw(t, "author"), changes...)
}

func drawChange(t *rapid.T, s *State) *configpb.Change {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	var r *configpb.Resource
	switch rapid.SampledFrom(kinds[:]).Draw(t, "kind") {
	case KindService:
		r = service(name)
	case KindRoute:
		prefix := rapid.SampledFrom([]string{"/", "/x", "/x/y", "bad"}).Draw(t, "prefix")
		r = route(name, prefix, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"))
	case KindContract:
		r = contract(name, rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "rate"))
	case KindAPIKey:
		r = apiKey(name, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), rapid.ByteRange(1, 3).Draw(t, "digest"))
	}
	c := set(r, 0)
	c.Delete = rapid.IntRange(0, 4).Draw(t, "delete") == 0
	k, _ := KeyOf(r)
	if e := s.Get(k); e != nil {
		c.Replaces = e.Revision
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		c.Replaces = rapid.Uint64Range(0, s.Offset).Draw(t, "replaces")
	}
	return c
}
