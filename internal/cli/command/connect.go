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

// Environment variables that set --platform and --daemon if the flags are absent.
const (
	envPlatform = "CROCUSCROSS_PLATFORM"
	envDaemon   = "CROCUSCROSS_DAEMON"
)

// Connect holds the flags with which a command connects to the platform's log service and to a
// daemon.
type Connect struct {
	platformURL string
	daemonAddr  string
	timeout     time.Duration
}

// PlatformFlag adds the flag --platform, the URL of the platform's log service.
func (c *Connect) PlatformFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("platform", "URL of the platform's log service.").
		Envar(envPlatform).PlaceHolder("URL").StringVar(&c.platformURL)
}

// DaemonFlag adds the flag --daemon, the address of a daemon's operator listener.
func (c *Connect) DaemonFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("daemon", "Operator listener of any daemon.").
		Envar(envDaemon).PlaceHolder("IP:PORT").StringVar(&c.daemonAddr)
}

// TimeoutFlag adds the flag --timeout with the default def, a duration such as "30s".
func (c *Connect) TimeoutFlag(cmd *kingpin.CmdClause, def string) {
	cmd.Flag("timeout", "Time limit of the command.").Default(def).DurationVar(&c.timeout)
}

// WithTimeout returns a copy of ctx that expires after the duration of --timeout.
func (c *Connect) WithTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

// HasPlatform reports whether the URL of the platform's log service is set.
func (c *Connect) HasPlatform() bool { return c.platformURL != "" }

// HasDaemon reports whether the address of a daemon is set.
func (c *Connect) HasDaemon() bool { return c.daemonAddr != "" }

// Reader returns a reader of the configuration stream. Without the platform's URL it returns an
// error with StatusBadInput.
func (c *Connect) Reader() (*configlog.Reader, error) {
	if c.platformURL == "" {
		return nil, Exitf(StatusBadInput, "the URL of the platform's log service is not set; use --platform or $%s", envPlatform)
	}
	client := httplog.New(httplog.DefaultOptions(c.platformURL))
	return &configlog.Reader{
		Log:        client.Stream(eventlog.StreamConfig),
		Checkpoint: c.initialState(client.Stream(eventlog.StreamCheckpoints)),
	}, nil
}

// initialState returns a function that loads the state from which the fold starts: the newest
// checkpoint in log. If log has no checkpoint, it is the daemon's state, provided that a daemon is set
// and returns its state: after an outage longer than the log's retention, only the daemons may still
// hold the configuration. Otherwise it is the empty state, and the fold starts at the log's first
// record.
func (c *Connect) initialState(log eventlog.Log) configlog.Checkpoint {
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

// Daemon returns a client of the daemon's operator listener. Without the daemon's address it returns
// an error with StatusBadInput.
func (c *Connect) Daemon() (*operator.Client, error) {
	if c.daemonAddr == "" {
		return nil, Exitf(StatusBadInput, "the address of a daemon's operator listener is not set; use --daemon or $%s", envDaemon)
	}
	return operator.NewClient(c.daemonAddr), nil
}

// State returns the configuration: the daemon's state if a daemon is set, otherwise the state folded
// from the platform's log. If neither is set, it returns an error with StatusBadInput.
func (c *Connect) State(ctx context.Context) (*fold.State, error) {
	if c.HasDaemon() {
		return c.daemonState(ctx)
	}
	if !c.HasPlatform() {
		return nil, Exitf(StatusBadInput, "neither a daemon nor the platform is set; use --daemon or --platform")
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
	return st, errors.Wrap(err, "decode the daemon's state")
}

// Verdict returns the verdict on a publish from the daemon's state. The bool is false if the state
// holds no verdict with this publish ID.
func (c *Connect) Verdict(ctx context.Context, publishID string) (fold.Verdict, bool, error) {
	st, err := c.daemonState(ctx)
	if err != nil {
		return fold.Verdict{}, false, err
	}
	v, ok := st.Verdict(publishID)
	return v, ok, nil
}

// Explain adds a hint for the operator to an error that has a known remedy and returns any other
// error unchanged.
func Explain(err error) error {
	var truncated *eventlog.TruncatedError
	var rule *fold.UnknownRuleError
	switch {
	case errors.As(err, &rule):
		return errors.Wrap(err, "this program is too old for the log; use the version that the daemons run")
	case errors.As(err, &truncated):
		return errors.Wrap(err, "the start of the log has expired and no checkpoint covers it; set a daemon with --daemon")
	case errkind.Of(err) == errkind.NotReady:
		return errors.Wrap(err, "use another daemon, or read the log with --platform")
	}
	return err
}
