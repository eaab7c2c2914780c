package command

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/checkpoint"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/configlog"
	"github.com/crocuscross/crocuscross/internal/operator"
)

// Environment variables that stand in for the flags.
const (
	envPlatform = "CROCUSCROSS_PLATFORM"
	envDaemon   = "CROCUSCROSS_DAEMON"
)

// Connect holds the ways to the platform and to a daemon.
type Connect struct {
	platformURL string
	daemonAddr  string
	timeout     time.Duration
}

// PlatformFlag adds --platform.
func (c *Connect) PlatformFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("platform", "URL of the platform's log service.").
		Envar(envPlatform).PlaceHolder("URL").StringVar(&c.platformURL)
}

// DaemonFlag adds --daemon.
func (c *Connect) DaemonFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("daemon", "Operator listener of any daemon.").
		Envar(envDaemon).PlaceHolder("IP:PORT").StringVar(&c.daemonAddr)
}

// TimeoutFlag adds --timeout.
func (c *Connect) TimeoutFlag(cmd *kingpin.CmdClause, def string) {
	cmd.Flag("timeout", "How long the command may take.").Default(def).DurationVar(&c.timeout)
}

// WithTimeout bounds a context by --timeout.
func (c *Connect) WithTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

// HasPlatform reports whether the platform was named.
func (c *Connect) HasPlatform() bool { return c.platformURL != "" }

// HasDaemon reports whether a daemon was named.
func (c *Connect) HasDaemon() bool { return c.daemonAddr != "" }

// Reader reads the configuration stream.
func (c *Connect) Reader() (*configlog.Reader, error) {
	if c.platformURL == "" {
		return nil, Exitf(StatusBadInput, "name the platform's log service with --platform or $%s", envPlatform)
	}
	client := httplog.New(httplog.DefaultOptions(c.platformURL))
	return &configlog.Reader{
		Log:        client.Stream(eventlog.StreamConfig),
		Checkpoint: c.checkpoint(client.Stream(eventlog.StreamCheckpoints)),
	}, nil
}

// checkpoint starts the fold at the newest checkpoint. Without one it starts at
// the state of the daemon, if one was named: after an outage longer than the
// retention the daemons may be the only ones who still know it. Otherwise it
// starts at the log's first record.
func (c *Connect) checkpoint(log eventlog.Log) configlog.Checkpoint {
	return func(ctx context.Context) (*fold.State, error) {
		st, err := checkpoint.Latest(ctx, log)
		if !errors.Is(err, checkpoint.ErrNoCheckpoint) {
			return st, err
		}
		if c.HasDaemon() {
			if st, err := c.daemonState(ctx); err == nil {
				return st, nil
			}
		}
		return fold.Empty(), nil
	}
}

// Daemon returns a client of a daemon's operator listener.
func (c *Connect) Daemon() (*operator.Client, error) {
	if c.daemonAddr == "" {
		return nil, Exitf(StatusBadInput, "name a daemon's operator listener with --daemon or $%s", envDaemon)
	}
	return operator.NewClient(c.daemonAddr), nil
}

// State returns the configuration: from the daemon if one was named, or else
// folded from the log.
func (c *Connect) State(ctx context.Context) (*fold.State, error) {
	if c.HasDaemon() {
		return c.daemonState(ctx)
	}
	if !c.HasPlatform() {
		return nil, Exitf(StatusBadInput, "name a daemon with --daemon or the platform with --platform")
	}
	r, err := c.Reader()
	if err != nil {
		return nil, err
	}
	return r.Load(ctx)
}

func (c *Connect) daemonState(ctx context.Context) (*fold.State, error) {
	m, err := operator.NewClient(c.daemonAddr).State(ctx)
	if err != nil {
		return nil, err
	}
	st, err := fold.Decode(m)
	return st, errors.Wrap(err, "daemon's state")
}

// Verdict asks the daemon what became of a publish.
func (c *Connect) Verdict(ctx context.Context, publishID string) (fold.Verdict, bool, error) {
	st, err := c.daemonState(ctx)
	if err != nil {
		return fold.Verdict{}, false, err
	}
	v, ok := st.Verdict(publishID)
	return v, ok, nil
}

// Explain returns err with a hint for the operator where there is one.
func Explain(err error) error {
	var truncated *eventlog.TruncatedError
	var rule *fold.UnknownRuleError
	switch {
	case errors.As(err, &rule):
		return errors.Wrap(err, "this program is too old for the log; use the version that the daemons run")
	case errors.As(err, &truncated):
		return errors.Wrap(err, "the log no longer holds the start and no checkpoint covers it; name a daemon with --daemon")
	case errkind.Of(err) == errkind.NotReady:
		return errors.Wrap(err, "ask another daemon, or the log with --platform")
	}
	return err
}
