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
	// clientTimeout limits the time of a request, in addition to the wait that it asks for.
	clientTimeout = 15 * time.Second
	// maxResponseBytes is the maximum size of a response. The largest response is a whole
	// configuration.
	maxResponseBytes = 64 << 20
)

// Client calls the operator API of one daemon. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the operator API at addr, which is an "IP:port" or a URL.
func NewClient(addr string) *Client {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	return &Client{base: strings.TrimRight(addr, "/"), http: &http.Client{}}
}

// Status returns the status of the fleet, as collected by the daemon.
func (c *Client) Status(ctx context.Context) (*FleetStatus, error) {
	s := &FleetStatus{}
	return s, c.getJSON(ctx, pathStatus, nil, 0, s)
}

// Self returns the status of the daemon itself.
func (c *Client) Self(ctx context.Context) (*peerpb.StatusAnswer, error) {
	b, err := c.do(ctx, http.MethodGet, pathStatusSelf, nil, nil, 0)
	if err != nil {
		return nil, err
	}
	s := &peerpb.StatusAnswer{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, s); err != nil {
		return nil, errors.Wrapf(err, "decode response of %s", c.base)
	}
	return s, nil
}

// Converge asks the daemon to wait until a configuration version is in force everywhere, for at
// most wait. elapsed is the time since the start of the publish; the times of the result are
// measured from that start.
func (c *Client) Converge(ctx context.Context, offset uint64, wait, elapsed time.Duration) (*Convergence, error) {
	q := url.Values{
		"offset":  {strconv.FormatUint(offset, 10)},
		"wait":    {wait.String()},
		"elapsed": {elapsed.String()},
	}
	a := &Convergence{}
	return a, c.getJSON(ctx, pathConvergence, q, wait, a)
}

// State returns the configuration state that the daemon has folded from the records of the log.
func (c *Client) State(ctx context.Context) (*configpb.State, error) {
	b, err := c.do(ctx, http.MethodGet, pathState, nil, nil, 0)
	if err != nil {
		return nil, err
	}
	st := &configpb.State{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, st); err != nil {
		return nil, errors.Wrapf(err, "decode response of %s", c.base)
	}
	return st, nil
}

// Drain asks the daemon to begin the graceful shutdown of the requested daemons.
func (c *Client) Drain(ctx context.Context, drain DrainRequest) (*DrainResponse, error) {
	body, err := json.Marshal(drain)
	if err != nil {
		return nil, errors.Wrap(err, "encode drain request")
	}
	b, err := c.do(ctx, http.MethodPost, pathDrain, nil, body, 0)
	if err != nil {
		return nil, err
	}
	a := &DrainResponse{}
	return a, errors.Wrapf(json.Unmarshal(b, a), "decode response of %s", c.base)
}

// getJSON sends a GET request and decodes the response into v.
func (c *Client) getJSON(ctx context.Context, path string, q url.Values, wait time.Duration, v any) error {
	b, err := c.do(ctx, http.MethodGet, path, q, nil, wait)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(b, v), "decode response of %s", c.base)
}

// do sends a request and returns the body of the response. An error response is returned as an
// error of the same kind, and a failure to reach the daemon as errkind.Unreachable.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+clientTimeout)
	defer cancel()
	target := c.base + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "invalid daemon address")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, err, "cannot reach the daemon")
	}
	defer resp.Body.Close()
	if err := answer.FromResponse(resp); err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, err, "read the daemon's response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errkind.Newf(errkind.BackendFailed, "%s responded with status %s; check that the address is the operator API of a daemon", target, resp.Status)
	}
	return b, nil
}
