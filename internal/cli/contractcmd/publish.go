package contractcmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/internal/bundle"
	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/internal/publish"
)

const (
	replacesAuto = "auto"
	// maxPublishIDBytes is the maximum length of a publish ID that the fold accepts.
	maxPublishIDBytes = 64
)

// publishFlags holds the argument and the flags of "contract publish".
type publishFlags struct {
	connect   command.Connect
	path      string
	author    string
	replaces  string
	publishID string
	wait      time.Duration
}

// publishResult is the JSON output of "contract publish".
type publishResult struct {
	Outcome     publish.Outcome       `json:"outcome"`
	PublishID   string                `json:"publish_id"`
	Revision    uint64                `json:"revision,omitempty"`
	Reasons     []string              `json:"reasons,omitempty"`
	Convergence *operator.Convergence `json:"convergence,omitempty"`
}

func registerPublish(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("publish", "Publish a file of changes and print the outcome.")
	cmd.HelpLong(command.Example(
		"crocuscross contract publish contracts.jsonc --platform http://10.1.0.1:7300",
		"crocuscross contract publish contracts.jsonc --platform http://10.1.0.1:7300 --daemon 10.1.2.3:7401 --wait=4s"))
	f := &publishFlags{}
	cmd.Arg("file", "Publish file: JSON with comments.").Required().StringVar(&f.path)
	cmd.Flag("replaces", "Revision that a change replaces if the file states none: a number, or auto for the revision now in force. 0 means that the resource must not exist yet.").
		Default(replacesAuto).PlaceHolder("auto|N").StringVar(&f.replaces)
	cmd.Flag("publish-id", "Repeat the publish with this ID, whose outcome was unknown.").PlaceHolder("ID").StringVar(&f.publishID)
	cmd.Flag("author", "Author, if the file states none.").StringVar(&f.author)
	f.addCommonFlags(cmd)
	cmd.Action(command.Action(func() error { return f.run(env) }))
}

// addCommonFlags adds the flags of all commands that publish.
func (f *publishFlags) addCommonFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("wait", "Wait until the publish is in force on every live daemon and print the convergence time; needs --daemon. Without a value: 4s.").
		PlaceHolder("4s").DurationVar(&f.wait)
	f.connect.PlatformFlag(cmd)
	f.connect.DaemonFlag(cmd)
	f.connect.TimeoutFlag(cmd, "30s")
}

func (f *publishFlags) run(env *command.Env) error {
	req, err := f.request()
	if err != nil {
		return command.Exit(command.StatusBadInput, err)
	}
	result, waitErr, err := f.publish(env.Context, req)
	if err != nil {
		return err
	}
	if err := env.Print(result, result.write); err != nil {
		return err
	}
	return result.exit(waitErr)
}

// publish publishes the changes of req and waits for convergence if --wait is set. waitErr is the
// error of that wait. err means that nothing was published.
func (f *publishFlags) publish(ctx context.Context, req publish.Request) (result publishResult, waitErr, err error) {
	p, err := f.publisher()
	if err != nil {
		return publishResult{}, nil, err
	}
	publishCtx, cancel := f.connect.WithTimeout(ctx)
	defer cancel()
	began := time.Now()
	r, err := p.Publish(publishCtx, req)
	if err != nil {
		return publishResult{}, nil, err
	}
	result = publishResult{Outcome: r.Outcome, PublishID: r.PublishID, Revision: r.Revision, Reasons: r.Reasons}
	if r.Outcome != publish.Accepted {
		return result, nil, nil
	}
	if !r.Began.IsZero() {
		began = r.Began
	}
	waitErr = f.converge(ctx, &result, began)
	return result, waitErr, nil
}

// request reads the publish file and builds the request from it and the flags. An error means
// invalid input.
func (f *publishFlags) request() (publish.Request, error) {
	req := publish.Request{PublishID: f.publishID, Repeat: f.publishID != ""}
	file, err := bundle.ReadFile(f.path)
	if err != nil {
		return req, err
	}
	req.File = file
	if req.Author = file.Author; req.Author == "" {
		req.Author = f.author
	}
	if req.Author == "" {
		return req, command.Exitf(command.StatusBadInput, "%s: author: is missing; set it in the file or with --author", f.path)
	}
	if len(f.publishID) > maxPublishIDBytes {
		return req, command.Exitf(command.StatusBadInput, "--publish-id has %d bytes; use at most %d", len(f.publishID), maxPublishIDBytes)
	}
	if req.PublishID == "" {
		req.PublishID = publish.NewPublishID()
	}
	if err := f.checkWait(); err != nil {
		return req, err
	}
	req.Revisions, err = parseReplaces(f.replaces)
	return req, err
}

func (f *publishFlags) checkWait() error {
	if f.wait > 0 && !f.connect.HasDaemon() {
		return command.Exitf(command.StatusBadInput, "--wait needs --daemon")
	}
	return nil
}

func parseReplaces(s string) (publish.Revisions, error) {
	if s == replacesAuto {
		return publish.Revisions{Auto: true}, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return publish.Revisions{}, command.Exitf(command.StatusBadInput, "--replaces: %q is neither auto nor a revision", s)
	}
	return publish.Revisions{Fixed: n}, nil
}

func (f *publishFlags) publisher() (*publish.Publisher, error) {
	reader, err := f.connect.Reader()
	if err != nil {
		return nil, err
	}
	p := &publish.Publisher{Reader: reader}
	if f.connect.HasDaemon() {
		p.Verdicts = &f.connect
	}
	return p, nil
}

// converge waits until the revision is in force on every live daemon, at most for the duration of
// --wait, and stores the progress in result. began is the time from which convergence is measured.
// Without --wait it does nothing.
func (f *publishFlags) converge(ctx context.Context, result *publishResult, began time.Time) error {
	if f.wait <= 0 {
		return nil
	}
	client, err := f.connect.Daemon()
	if err != nil {
		return err
	}
	result.Convergence, err = client.Converge(ctx, result.Revision, f.wait, time.Since(began))
	if err != nil {
		result.Convergence = nil
	}
	return err
}

// exit returns the error with the exit status that matches the result, nil on success. waitErr is
// the error of the wait for convergence.
func (r publishResult) exit(waitErr error) error {
	switch {
	case r.Outcome == publish.Rejected:
		return command.Exit(command.StatusRejected, nil)
	case r.Outcome == publish.Unknown:
		return command.Exit(command.StatusUnknown, nil)
	case waitErr != nil:
		return command.Exitf(command.StatusNotConverged, "accepted, but the wait failed: %v", waitErr)
	case r.Convergence != nil && !r.Convergence.Converged:
		return command.Exit(command.StatusNotConverged, nil)
	}
	return nil
}

func (r publishResult) write(w io.Writer) {
	switch r.Outcome {
	case publish.Accepted:
		fmt.Fprintf(w, "accepted: revision %d (publish id %s)\n", r.Revision, r.PublishID)
	case publish.Rejected:
		fmt.Fprintf(w, "rejected (publish id %s):\n", r.PublishID)
	case publish.Unknown:
		fmt.Fprintf(w, "outcome unknown; repeat with --publish-id %s:\n", r.PublishID)
	}
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "  %s\n", reason)
	}
	if r.Convergence != nil {
		writeConvergence(w, r.Convergence)
	}
}

func writeConvergence(w io.Writer, c *operator.Convergence) {
	inForce := 0
	for _, d := range c.Daemons {
		if d.InForce {
			inForce++
		}
	}
	if c.Converged {
		fmt.Fprintf(w, "in force on all %d live daemons %d ms after the publish began\n", inForce, c.ConvergenceMs)
		return
	}
	fmt.Fprintf(w, "in force on %d of %d live daemons; not on:\n", inForce, len(c.Daemons))
	for _, d := range c.Daemons {
		if !d.InForce {
			fmt.Fprintf(w, "  %s (%s): at %d, %s\n", d.Host, d.AvailabilityZone, d.Offset, d.Reason)
		}
	}
}
