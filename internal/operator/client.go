package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// clientTimeout bounds a request beyond the wait that it asks for.
	clientTimeout = 15 * time.Second
	// maxAnswerBytes bounds an answer; the largest is a whole configuration.
	maxAnswerBytes = 64 << 20
)

// Client talks to the operators' listener of one daemon.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of a listener at an "IP:port" or a URL.
func NewClient(addr string) *Client {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	return &Client{base: strings.TrimRight(addr, "/"), http: &http.Client{}}
}

// Status returns the status of the fleet as the daemon sees it.
func (c *Client) Status(ctx context.Context) (*FleetStatus, error) {
	s := &FleetStatus{}
	return s, c.getJSON(ctx, pathStatus, nil, 0, s)
}

// Self returns the daemon's own status.
func (c *Client) Self(ctx context.Context) (*peerpb.StatusAnswer, error) {
	b, err := c.do(ctx, http.MethodGet, pathStatusSelf, nil, nil, 0)
	if err != nil {
		return nil, err
	}
	s := &peerpb.StatusAnswer{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, s); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", c.base)
	}
	return s, nil
}

// Converge asks the daemon to wait until a version is in force everywhere.
// elapsed is how long ago the publish began; times count from there.
func (c *Client) Converge(ctx context.Context, offset uint64, wait, elapsed time.Duration) (*Convergence, error) {
	q := url.Values{
		"offset":  {strconv.FormatUint(offset, 10)},
		"wait":    {wait.String()},
		"elapsed": {elapsed.String()},
	}
	a := &Convergence{}
	return a, c.getJSON(ctx, pathConvergence, q, wait, a)
}

// State returns the configuration that the daemon has folded.
func (c *Client) State(ctx context.Context) (*configpb.State, error) {
	b, err := c.do(ctx, http.MethodGet, pathState, nil, nil, 0)
	if err != nil {
		return nil, err
	}
	st := &configpb.State{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, st); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", c.base)
	}
	return st, nil
}

// Drain asks daemons to begin a graceful shutdown.
func (c *Client) Drain(ctx context.Context, ask DrainRequest) (*DrainResponse, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	b, err := c.do(ctx, http.MethodPost, pathDrain, nil, body, 0)
	if err != nil {
		return nil, err
	}
	a := &DrainResponse{}
	return a, errors.Wrapf(json.Unmarshal(b, a), "answer of %s", c.base)
}

func (c *Client) getJSON(ctx context.Context, path string, q url.Values, wait time.Duration, v any) error {
	b, err := c.do(ctx, http.MethodGet, path, q, nil, wait)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(b, v), "answer of %s", c.base)
}

// do returns the body of a good answer. A refusal comes back with its kind, a
// daemon that cannot be reached as Unreachable.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+clientTimeout)
	defer cancel()
	target := c.base + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "daemon address")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, err, "daemon")
	}
	defer resp.Body.Close()
	if err := answer.FromResponse(resp); err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, err, "daemon's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errkind.Newf(errkind.BackendFailed, "%s answered %s; is it a daemon's operator listener?", target, resp.Status)
	}
	return b, nil
}
