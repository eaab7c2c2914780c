package contractcmd

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/history"
)

func registerHistory(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("history", "Show who changed what, from the records that the platform's log retains.")
	cmd.HelpLong(command.Example(
		"crocuscross contract history --platform http://10.1.0.1:7300",
		"crocuscross contract history garage-7 --limit 5 --platform http://10.1.0.1:7300"))
	connect, filter := &command.Connect{}, &history.Filter{}
	cmd.Arg("name", "Show only changes of resources with this name.").StringVar(&filter.Name)
	cmd.Flag("limit", "Number of latest records to show; 0 shows all.").Default("20").IntVar(&filter.Limit)
	connect.PlatformFlag(cmd)
	connect.TimeoutFlag(cmd, "30s")
	cmd.Action(command.Action(func() error { return showHistory(env, connect, *filter) }))
}

func showHistory(env *command.Env, connect *command.Connect, filter history.Filter) error {
	reader, err := connect.Reader()
	if err != nil {
		return err
	}
	ctx, cancel := connect.WithTimeout(env.Context)
	defer cancel()
	st, err := reader.Load(ctx)
	var rule *fold.UnknownRuleError
	if errors.As(err, &rule) {
		// The records before the one with the unknown rule can still be shown.
		fmt.Fprintln(env.Stderr, "crocuscross: "+command.Explain(err).Error())
		err = nil
	}
	if err != nil {
		return command.Explain(err)
	}
	items, err := history.Read(ctx, reader.Log, st, filter)
	if err != nil {
		return err
	}
	return env.Print(items, func(w io.Writer) { writeHistory(w, items) })
}

func writeHistory(w io.Writer, items []history.Item) {
	var rows []command.Row
	for _, it := range items {
		rows = append(rows, command.Row{
			strconv.FormatUint(it.Offset, 10), formatTime(it.Published), command.OrDash(it.Author), verdict(it), changes(it),
		})
	}
	command.Table(w, command.Row{"OFFSET", "PUBLISHED", "AUTHOR", "VERDICT", "CHANGES (OLD TO NEW REVISION)"}, rows)
}

func verdict(it history.Item) string {
	if it.Verdict == history.Duplicate {
		return fmt.Sprintf("repeat of %d", it.RepeatOf)
	}
	return string(it.Verdict)
}

// changes lists the changes of a record, followed by the reasons for its verdict if there are any,
// or returns a dash.
func changes(it history.Item) string {
	var parts []string
	for _, c := range it.Changes {
		parts = append(parts, fmt.Sprintf("%s %s %s", c.Kind, c.Name, revisions(c)))
	}
	s := strings.Join(parts, ", ")
	if len(it.Reasons) > 0 {
		s += ": " + strings.Join(it.Reasons, "; ")
	}
	return command.OrDash(s)
}

func revisions(c history.Change) string {
	switch {
	case c.From == 0:
		return fmt.Sprintf("new at %d", c.To)
	case c.To == 0:
		return fmt.Sprintf("%d deleted", c.From)
	}
	return fmt.Sprintf("%d to %d", c.From, c.To)
}
