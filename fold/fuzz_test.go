package fold

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
)

// corruptions are changes that make a serialized state inconsistent.
var corruptions = map[string]func(m *configpb.State){
	"short chain": func(m *configpb.State) { m.Chain = m.Chain[1:] },
	"chain at offset 0": func(m *configpb.State) {
		m.Offset, m.Entries, m.Verdicts, m.Deletions, m.PreviousChain = 0, nil, nil, nil, make([]byte, 32)
	},
	"short previous chain":     func(m *configpb.State) { m.PreviousChain = nil },
	"no previous chain":        func(m *configpb.State) { m.PreviousChain = make([]byte, 32) },
	"repeated entry":           func(m *configpb.State) { m.Entries = append(m.Entries, m.Entries[0]) },
	"entry without resource":   func(m *configpb.State) { m.Entries = append(m.Entries, nil) },
	"route without service":    func(m *configpb.State) { m.Entries = m.Entries[1:] },
	"repeated prefix":          func(m *configpb.State) { m.Entries = append(m.Entries, entry(route("q", "/", "s"))) },
	"resource out of bounds":   func(m *configpb.State) { m.Entries = append(m.Entries, entry(contract("d", -1))) },
	"API key without contract": func(m *configpb.State) { m.Entries = append(m.Entries, entry(apiKey("k", "nobody", 1))) },
	"API key without digest": func(m *configpb.State) {
		m.Entries = append(m.Entries, entry(apiKey("k", "c", 1)))
		m.Entries[len(m.Entries)-1].Resource.GetApiKey().Digest = nil
	},
	"too many API keys": func(m *configpb.State) {
		m.Entries = append(m.Entries, entry(contract("d", 1)))
		for i := range MaxContractKeys + 1 {
			r := apiKey(fmt.Sprint("k", i), "d", 1)
			r.GetApiKey().Digest[0], r.GetApiKey().Digest[1] = byte(i), byte(i>>8)
			m.Entries = append(m.Entries, entry(r))
		}
	},
	"accounts without their rule": func(m *configpb.State) {
		m.Document = document(3, "/a/")
		m.Document.Accounts = []*configpb.DocumentAccount{{Name: "a"}}
	},
	"revision after offset":    func(m *configpb.State) { m.Entries[0].Revision = m.Offset + 1 },
	"repeated verdict":         func(m *configpb.State) { m.Verdicts = append(m.Verdicts, m.Verdicts[0]) },
	"repeated publish id":      func(m *configpb.State) { m.Verdicts[1].PublishId = m.Verdicts[0].PublishId },
	"accepted with reasons":    func(m *configpb.State) { m.Verdicts[2].Accepted = true },
	"expired verdict":          func(m *configpb.State) { m.Offset += 2 * MaxVerdicts },
	"deletion after offset":    func(m *configpb.State) { m.Deletions[0].Offset = 1 << 60 },
	"deletion of unknown kind": func(m *configpb.State) { m.Deletions[0].Kind = 300 },
}

func entry(r *configpb.Resource) *configpb.Entry { return &configpb.Entry{Resource: r, Revision: 1} }

// seedStates returns the serialized states at all offsets of a short log.
func seedStates() [][]byte {
	s := Empty()
	seeds := [][]byte{mustMarshal(s.Encode())}
	for _, data := range [][]byte{
		bundle("1", "ann", set(service("s"), 0), set(route("r", "/", "s"), 0), set(contract("c", 1), 0)),
		bundle("2", "bo", del(contract("c", 0), 1)),
		bundle("3", "bo", del(contract("c", 0), 1)),
	} {
		s, _, _ = Apply(s, s.Offset+1, data)
		seeds = append(seeds, mustMarshal(s.Encode()))
	}
	return seeds
}

// corruptedState returns the last of seedStates with one corruption applied.
func corruptedState(corrupt func(m *configpb.State)) *configpb.State {
	seeds := seedStates()
	m := &configpb.State{}
	if err := proto.Unmarshal(seeds[len(seeds)-1], m); err != nil {
		panic(err)
	}
	corrupt(m)
	return m
}

// A checkpoint with a correct digest contains a damaged or forged state. If Decode accepted it,
// the daemon would put a state in force that no other daemon can have.
func TestDecodeRejectsInvalidState(t *testing.T) {
	_, err := Decode(corruptedState(func(*configpb.State) {}))
	must.NoError(t, err)
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(corruptedState(corrupt))
			must.ErrorIs(t, err, ErrBadState)
		})
	}
}

// FuzzDecode decodes arbitrary states. A state that is accepted must encode to the message it was
// decoded from, and it must be possible to fold records into it.
func FuzzDecode(f *testing.F) {
	for _, data := range seedStates() {
		f.Add(data)
	}
	for _, corrupt := range corruptions {
		f.Add(mustMarshal(corruptedState(corrupt)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m configpb.State
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		s, err := Decode(&m)
		if err != nil {
			must.Nil(t, s)
			return
		}
		again, err := Decode(s.Encode())
		must.NoError(t, err)
		must.Eq(t, encoded(s), encoded(again))
		if s.Offset+1 == 0 {
			return
		}
		next, _, err := Apply(s, s.Offset+1, bundle("next", "ann", set(contract("next", 1), 0)))
		must.NoError(t, err)
		must.Eq(t, s.Offset+1, next.Offset)
		must.Eq(t, encoded(s), encoded(again))
	})
}

// FuzzApply folds arbitrary records. The fold must neither panic nor reach different states from
// the same bytes.
func FuzzApply(f *testing.F) {
	f.Add(bundle("1", "ann", set(service("s"), 0), set(route("r", "/", "s"), 0)))
	f.Add(bundle("1", "ann", del(service("s"), 1), set(contract("c", 1), 0)))
	f.Add([]byte{0x08, 0x02})
	f.Add([]byte{0x08, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	base, _, _ := Apply(Empty(), 1, bundle("0", "ann", set(service("s"), 0)))
	f.Fuzz(func(t *testing.T, data []byte) {
		one, v, err := Apply(base, 2, data)
		two, w, _ := Apply(base, 2, data)
		must.Eq(t, encoded(one), encoded(two))
		must.Eq(t, v, w)
		must.True(t, err != nil || one.Offset == 2)
	})
}
