package fold

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

func rolloutRecord(t *testing.T, service, version string) []byte {
	data, err := EncodeRollout(&configpb.Rollout{Service: service, ToVersion: version, DurationMs: 12_000})
	must.NoError(t, err)
	return data
}

func plainDocument(t *testing.T, version uint64) []byte {
	data, err := EncodeDocument(&configpb.Document{Version: version, Services: []*configpb.DocumentService{{Name: "signs"}}})
	must.NoError(t, err)
	return data
}

// Guards against a daemon that starts from the latest records and ends up with a different state
// than one that folded all records: neither would accept the other's records.
func TestFromLatestRecords_EqualsFullFold(t *testing.T) {
	records := []eventlog.Record{
		{Offset: 1, Data: plainDocument(t, 3)}, {Offset: 2, Data: rolloutRecord(t, "signs", "v2")},
		{Offset: 3, Data: plainDocument(t, 5)}, {Offset: 4}, {Offset: 5, Data: rolloutRecord(t, "ops", "v7")},
	}
	all, _, err := ApplyAll(Empty(), records)
	must.NoError(t, err)
	latest, err := FromLatestRecords([]eventlog.Record{records[1], records[2], records[4]})
	must.NoError(t, err)
	must.Eq(t, all.Offset, latest.Offset)
	must.Eq(t, all.Chain, latest.Chain)
	for _, s := range []*State{all, latest} {
		must.Eq(t, 5, s.Document().GetVersion())
		must.Eq(t, 2, s.Rollout("signs").GetOffset())
		must.Eq(t, "v7", s.Rollout("ops").GetRollout().GetToVersion())
		must.True(t, s.LastRecordIs(records[4].Data))
		decoded, err := Decode(s.Encode())
		must.NoError(t, err)
		must.Len(t, 2, decoded.Rollouts())
	}
}

// Guards against an invalid order that replaces a valid one.
func TestRollout_InvalidOrderChangesNothing(t *testing.T) {
	s, _, err := ApplyAll(Empty(), []eventlog.Record{{Offset: 1, Data: rolloutRecord(t, "signs", "v2")}})
	must.NoError(t, err)
	for name, r := range map[string]*configpb.Rollout{
		"no version":  {Service: "signs", DurationMs: 1000},
		"no duration": {Service: "signs", ToVersion: "v3"},
		"no service":  {ToVersion: "v3", DurationMs: 1000},
		"too long":    {Service: "signs", ToVersion: "v3", DurationMs: MaxRolloutDurationMs + 1},
	} {
		data, err := EncodeRollout(r)
		must.NoError(t, err)
		n, v, err := Apply(s, 2, data)
		must.NoError(t, err, must.Sprint(name))
		must.False(t, v.Accepted, must.Sprint(name))
		must.Eq(t, "v2", n.Rollout("signs").GetRollout().GetToVersion(), must.Sprint(name))
	}
}
