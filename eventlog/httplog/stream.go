package httplog

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/httphead"
)

const (
	// maxSmallBodyBytes limits the size of a JSON response and of the text of an error response.
	maxSmallBodyBytes = 4 << 10
	// recordOverheadBytes is an upper bound of the size of a record's offset and field headers in
	// the encoded message.
	recordOverheadBytes = 32
)

// stream implements eventlog.Log for one stream.
type stream struct {
	c   *Client
	url string
}

// Append sends the record exactly once. It never retries, because only the publisher knows how to
// make a retry idempotent.
func (s *stream) Append(ctx context.Context, data []byte) (eventlog.Offset, error) {
	if len(data) > eventlog.MaxRecordBytes {
		return 0, &eventlog.RejectedError{Reason: fmt.Sprintf("record of %d bytes is too large", len(data))}
	}
	if err := ctx.Err(); err != nil {
		return 0, eventlog.Unavailable(err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.c.opts.AppendTimeout)
	defer cancel()
	var p progress
	req, err := http.NewRequestWithContext(p.trace(ctx), http.MethodPost, s.url+"/records", bytes.NewReader(data))
	if err != nil {
		return 0, eventlog.Unavailable(err)
	}
	resp, err := s.c.http.Do(req)
	if err != nil {
		return 0, p.classify(err)
	}
	defer resp.Body.Close()
	if err := httphead.Check(resp); err != nil {
		return 0, eventlog.Unknown(err)
	}
	return parseAppendResponse(resp)
}

// parseAppendResponse returns the offset of the new record, or the error that the status implies
// for the outcome of the append.
func parseAppendResponse(resp *http.Response) (eventlog.Offset, error) {
	switch {
	case resp.StatusCode == http.StatusCreated:
		var a AppendResponse
		if err := decodeJSON(resp, &a); err != nil {
			return 0, eventlog.Unknown(err)
		}
		if a.Offset == 0 {
			return 0, eventlog.Unknown(errors.New("log service returned no offset"))
		}
		return a.Offset, nil
	case isUnavailable(resp.StatusCode):
		return 0, eventlog.Unavailable(statusError(resp))
	case isRejection(resp.StatusCode):
		return 0, &eventlog.RejectedError{Reason: statusError(resp).Error()}
	}
	return 0, eventlog.Unknown(statusError(resp))
}

// Read implements eventlog.Log. It returns records in order and without gaps, or an error.
func (s *stream) Read(ctx context.Context, from eventlog.Offset, limit int, wait time.Duration) ([]eventlog.Record, error) {
	wait = max(wait, 0)
	ctx, cancel := context.WithTimeout(ctx, wait+s.c.opts.ReadTimeout)
	defer cancel()
	query := url.Values{
		ParamFrom:  {strconv.FormatUint(from, 10)},
		ParamLimit: {strconv.Itoa(limit)},
		ParamWait:  {wait.String()},
	}
	resp, err := s.get(ctx, "/records?"+query.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK:
		recs, err := decodeRecords(io.LimitReader(resp.Body, s.c.opts.MaxReadBytes), from, limit)
		if err != nil {
			return nil, eventlog.Unavailable(err)
		}
		return recs, nil
	case resp.StatusCode == http.StatusGone:
		return nil, truncatedError(resp, from)
	}
	return nil, readError(resp)
}

// Bounds implements eventlog.Log.
func (s *stream) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.opts.ReadTimeout)
	defer cancel()
	resp, err := s.get(ctx, "/bounds")
	if err != nil {
		return eventlog.Bounds{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eventlog.Bounds{}, readError(resp)
	}
	var a BoundsResponse
	if err := decodeJSON(resp, &a); err != nil {
		return eventlog.Bounds{}, eventlog.Unavailable(err)
	}
	if a.First == 0 || a.End < a.First {
		return eventlog.Bounds{}, eventlog.Unavailable(errors.Newf("log service returned invalid bounds %d to %d", a.First, a.End))
	}
	return eventlog.Bounds{First: a.First, End: a.End}, nil
}

func (s *stream) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+path, nil)
	if err != nil {
		return nil, eventlog.Unavailable(err)
	}
	resp, err := s.c.http.Do(req)
	if err != nil {
		return nil, eventlog.Unavailable(err)
	}
	if err := httphead.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, eventlog.Unavailable(err)
	}
	return resp, nil
}

// decodeRecords decodes records and verifies that their offsets are consecutive. A record skipped
// here would be missing from the folded state permanently, and the daemon would accept or reject
// configuration versions differently from its peers.
func decodeRecords(body io.Reader, from eventlog.Offset, limit int) ([]eventlog.Record, error) {
	r := bufio.NewReader(body)
	opts := protodelim.UnmarshalOptions{MaxSize: eventlog.MaxRecordBytes + recordOverheadBytes}
	var recs []eventlog.Record
	for {
		var m configpb.SequencedRecord
		err := opts.UnmarshalFrom(r, &m)
		if errors.Is(err, io.EOF) {
			return recs, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "decode records")
		}
		want := from + eventlog.Offset(len(recs))
		if m.GetOffset() != want {
			return nil, errors.Newf("log service returned offset %d instead of %d", m.GetOffset(), want)
		}
		if len(recs) == limit {
			return nil, errors.Newf("log service returned more than %d records", limit)
		}
		recs = append(recs, eventlog.Record{Offset: m.GetOffset(), Data: m.GetData()})
	}
}

func truncatedError(resp *http.Response, requested eventlog.Offset) error {
	var a TruncatedResponse
	if err := decodeJSON(resp, &a); err != nil {
		return eventlog.Unavailable(err)
	}
	if a.First <= requested {
		return eventlog.Unavailable(errors.Newf("log service reported offset %d as truncated, but its first retained offset is %d", requested, a.First))
	}
	return &eventlog.TruncatedError{Requested: requested, First: a.First}
}

// readError returns the error for the status of a failed read. A failed read never has an effect,
// whatever the status.
func readError(resp *http.Response) error {
	if isRejection(resp.StatusCode) && !isUnavailable(resp.StatusCode) {
		return &eventlog.RejectedError{Reason: statusError(resp).Error()}
	}
	return eventlog.Unavailable(statusError(resp))
}

// isUnavailable reports whether the status guarantees that the request had no effect and may be
// retried.
func isUnavailable(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isRejection(status int) bool { return status >= 400 && status < 500 }

func decodeJSON(resp *http.Response, v any) error {
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxSmallBodyBytes)).Decode(v), "decode response")
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxSmallBodyBytes))
	return errors.Newf("log service responded with status %s: %s", resp.Status, strings.TrimSpace(string(text)))
}
