package contractcmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/cli/command"
)

const kindAll = "all"

// kinds holds the resource kinds in the order in which they are listed.
var kinds = []fold.ResourceKind{fold.KindService, fold.KindRoute, fold.KindContract}

// item is the JSON output for one resource in force. summary is a one-line description for the
// table.
type item struct {
	Kind      string          `json:"kind"`
	Name      string          `json:"name"`
	Revision  uint64          `json:"revision"`
	Author    string          `json:"author"`
	Published time.Time       `json:"published"`
	Resource  json.RawMessage `json:"resource"`
	summary   string
}

func registerList(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("list", "List the resources in force with their revisions.")
	cmd.HelpLong(command.Example("crocuscross contract list --daemon 10.1.2.3:7401 --kind contract"))
	connect := &command.Connect{}
	kind := cmd.Flag("kind", "Kind of resource: contract, route, service or all.").Default(kindAll).
		Enum(kindAll, fold.KindContract.String(), fold.KindRoute.String(), fold.KindService.String())
	addStateFlags(cmd, connect)
	cmd.Action(command.Action(func() error { return list(env, connect, *kind) }))
}

func registerGet(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("get", "Show one resource in force.")
	cmd.HelpLong(command.Example(
		"crocuscross contract get garage-7 --daemon 10.1.2.3:7401",
		"crocuscross contract get signs --kind route --platform http://10.1.0.1:7300"))
	connect := &command.Connect{}
	name := cmd.Arg("name", "Customer, or name of the route or service.").Required().String()
	kind := cmd.Flag("kind", "Kind of resource: contract, route or service.").Default(fold.KindContract.String()).
		Enum(fold.KindContract.String(), fold.KindRoute.String(), fold.KindService.String())
	addStateFlags(cmd, connect)
	cmd.Action(command.Action(func() error { return get(env, connect, *kind, *name) }))
}

func addStateFlags(cmd *kingpin.CmdClause, connect *command.Connect) {
	connect.PlatformFlag(cmd)
	connect.DaemonFlag(cmd)
	connect.TimeoutFlag(cmd, "30s")
}

func list(env *command.Env, connect *command.Connect, kind string) error {
	st, err := loadState(env, connect)
	if err != nil {
		return err
	}
	items := []item{}
	for _, k := range kinds {
		if kind != kindAll && kind != k.String() {
			continue
		}
		for _, e := range st.Entries(k) {
			it, err := newItem(e)
			if err != nil {
				return err
			}
			items = append(items, it)
		}
	}
	return env.Print(items, func(w io.Writer) { writeList(w, st.Offset, items) })
}

func writeList(w io.Writer, offset uint64, items []item) {
	fmt.Fprintf(w, "version %d\n", offset)
	var rows []command.Row
	for _, it := range items {
		rows = append(rows, command.Row{
			it.Kind, it.Name, strconv.FormatUint(it.Revision, 10), command.OrDash(it.Author), formatTime(it.Published), it.summary,
		})
	}
	command.Table(w, command.Row{"KIND", "NAME", "REVISION", "AUTHOR", "PUBLISHED", "CONTENT"}, rows)
}

func get(env *command.Env, connect *command.Connect, kind, name string) error {
	st, err := loadState(env, connect)
	if err != nil {
		return err
	}
	key := fold.Key{Name: name}
	for _, k := range kinds {
		if k.String() == kind {
			key.Kind = k
		}
	}
	e := st.Get(key)
	if e == nil {
		return command.Exitf(command.StatusFailed, "%s does not exist at version %d", key, st.Offset)
	}
	it, err := newItem(e)
	if err != nil {
		return err
	}
	return env.Print(it, it.write)
}

func (it item) write(w io.Writer) {
	fmt.Fprintf(w, "%s %s\nrevision %d by %s at %s\n", it.Kind, it.Name, it.Revision, command.OrDash(it.Author), formatTime(it.Published))
	var b bytes.Buffer
	if json.Indent(&b, it.Resource, "", "  ") == nil {
		fmt.Fprintln(w, b.String())
	}
}

func loadState(env *command.Env, connect *command.Connect) (*fold.State, error) {
	ctx, cancel := connect.WithTimeout(env.Context)
	defer cancel()
	st, err := connect.State(ctx)
	return st, command.Explain(err)
}

func newItem(e *fold.Entry) (item, error) {
	m, summary := content(e.Resource)
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return item{}, errors.Wrapf(err, "marshal %s", e.Key)
	}
	return item{
		Kind: e.Key.Kind.String(), Name: e.Key.Name, Revision: e.Revision, Author: e.Author,
		Published: time.UnixMilli(e.PublishedUnixMs).UTC(), Resource: raw, summary: summary,
	}, nil
}

// content returns the message in a resource and a one-line summary of it.
func content(r *configpb.Resource) (proto.Message, string) {
	switch k := r.GetKind().(type) {
	case *configpb.Resource_Route:
		return k.Route, k.Route.GetPathPrefix() + " to " + k.Route.GetService()
	case *configpb.Resource_Contract:
		return k.Contract, contractSummary(k.Contract)
	}
	return r.GetService(), "-"
}

func contractSummary(c *configpb.Contract) string {
	s := fmt.Sprintf("%g calls/s, waits at most %s", c.GetRatePerSecond(), time.Duration(c.GetMaxWaitMs())*time.Millisecond)
	if n := c.GetMaxConcurrent(); n > 0 {
		s += fmt.Sprintf(", %d at once", n)
	}
	if n := len(c.GetRules()); n > 0 {
		s += fmt.Sprintf(", %d rules", n)
	}
	return s
}

func formatTime(t time.Time) string {
	if t.Unix() == 0 {
		return "-"
	}
	return t.Format(time.RFC3339)
}
