package checkpoint

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
)

// record returns a record that sets the contract of customer n on top of its current revision.
func record(s *fold.State, n int) []byte {
	c := &configpb.Contract{Customer: fmt.Sprintf("customer-%d", n), RatePerSecond: 1, MaxWaitMs: 1000}
	change := &configpb.Change{Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}}}
	if e := s.Get(fold.Key{Kind: fold.KindContract, Name: c.Customer}); e != nil {
		change.Replaces = e.Revision
	}
	data, err := fold.EncodeRecord(&configpb.Bundle{
		PublishId: fmt.Sprintf("%036d", s.Offset+1),
		Author:    "operator@example.org",
		Changes:   []*configpb.Change{change},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// stateAt returns the state after n records, each of which adds a contract.
func stateAt(n int) *fold.State {
	s := fold.Empty()
	for i := range n {
		s, _, _ = fold.Apply(s, s.Offset+1, record(s, i))
	}
	return s
}

// bigState returns a state that needs several parts.
func bigState() *fold.State {
	s := fold.Empty()
	for i := range 10 {
		c := &configpb.Contract{Customer: fmt.Sprint(i), RatePerSecond: 1, MaxWaitMs: 1000}
		for range fold.MaxRules / 2 {
			c.Rules = append(c.Rules, &configpb.CallRule{PathPrefix: "/" + strings.Repeat("x", 800)})
		}
		change := &configpb.Change{Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}}}
		data, _ := fold.EncodeRecord(&configpb.Bundle{PublishId: fmt.Sprint(i), Changes: []*configpb.Change{change}})
		s, _, _ = fold.Apply(s, s.Offset+1, data)
	}
	return s
}

func encoded(s *fold.State) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Encode())
	if err != nil {
		panic(err)
	}
	return string(data)
}

// options returns options with which a writer retries without waiting and numbers its
// checkpoints.
func options() WriterOptions {
	opts := DefaultWriterOptions()
	opts.Sleep = func(context.Context, time.Duration) error { return nil }
	id := uint64(0)
	opts.NewID = func() uint64 { id++; return id }
	return opts
}

// partsOf returns the records of a checkpoint, split into n parts.
func partsOf(writer string, id uint64, st *fold.State, n int) [][]byte {
	whole, err := splitState(writer, id, st)
	if err != nil {
		panic(err)
	}
	var data []byte
	for _, p := range whole {
		data = append(data, p.GetData()...)
	}
	var records [][]byte
	for i := range n {
		p := proto.CloneOf(whole[0])
		p.Index, p.Count, p.Data = uint32(i), uint32(n), data[i*len(data)/n:(i+1)*len(data)/n]
		raw, _ := proto.Marshal(p)
		records = append(records, raw)
	}
	return records
}

func newStream() (*memlog.Service, *memlog.Stream) {
	svc := memlog.New(memlog.DefaultOptions())
	return svc, svc.Stream(eventlog.StreamCheckpoints)
}
