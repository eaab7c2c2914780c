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
)

const (
	// maxSmallBytes bounds JSON answers and the text of errors.
	maxSmallBytes = 4 << 10
	// recordOverheadBytes is more than a record's offset and field headers
	// take.
	recordOverheadBytes = 32
)

// stream is one stream as a eventlog.Log.
type stream struct {
	c   *Client
	url string
}

// Append sends one record, once. An append is never repeated here: whoever
// publishes knows how to make a repeat harmless.
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
	req, err := http.NewRequestWithContext(p.watch(ctx), http.MethodPost, s.url+"/records", bytes.NewReader(data))
	if err != nil {
		return 0, eventlog.Unavailable(err)
	}
	resp, err := s.c.http.Do(req)
	if err != nil {
		return 0, p.classify(err)
	}
	defer resp.Body.Close()
	return appendAnswer(resp)
}

// appendAnswer maps each status to what it says about the record.
func appendAnswer(resp *http.Response) (eventlog.Offset, error) {
	switch {
	case resp.StatusCode == http.StatusCreated:
		var a AppendResponse
		if err := decodeSmall(resp, &a); err != nil {
			return 0, eventlog.Unknown(err)
		}
		if a.Offset == 0 {
			return 0, eventlog.Unknown(errors.New("log service answered no offset"))
		}
		return a.Offset, nil
	case tookNothing(resp.StatusCode):
		return 0, eventlog.Unavailable(statusError(resp))
	case isRejection(resp.StatusCode):
		return 0, &eventlog.RejectedError{Reason: statusError(resp).Error()}
	}
	return 0, eventlog.Unknown(statusError(resp))
}

// Read returns records in order and without gaps, or an error.
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
		return nil, truncated(resp, from)
	}
	return nil, readError(resp)
}

// Bounds asks for the current first and end offset.
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
	if err := decodeSmall(resp, &a); err != nil {
		return eventlog.Bounds{}, eventlog.Unavailable(err)
	}
	if a.First == 0 || a.End < a.First {
		return eventlog.Bounds{}, eventlog.Unavailable(errors.Newf("log service answered bounds %d to %d", a.First, a.End))
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
	return resp, nil
}

// decodeRecords checks the order of offsets: a record skipped here would be
// missing from the fold for good, and the daemon would reach other verdicts
// than its peers.
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
			return nil, errors.Newf("log service answered offset %d in place of %d", m.GetOffset(), want)
		}
		if len(recs) == limit {
			return nil, errors.Newf("log service answered more than %d records", limit)
		}
		recs = append(recs, eventlog.Record{Offset: m.GetOffset(), Data: m.GetData()})
	}
}

func truncated(resp *http.Response, asked eventlog.Offset) error {
	var a TruncatedResponse
	if err := decodeSmall(resp, &a); err != nil {
		return eventlog.Unavailable(err)
	}
	if a.First <= asked {
		return eventlog.Unavailable(errors.Newf("log service answered that %d is no longer retained and %d is", asked, a.First))
	}
	return &eventlog.TruncatedError{Requested: asked, First: a.First}
}

// readError maps the status of a read that failed. Nothing was read, whatever
// the reason.
func readError(resp *http.Response) error {
	if isRejection(resp.StatusCode) && !tookNothing(resp.StatusCode) {
		return &eventlog.RejectedError{Reason: statusError(resp).Error()}
	}
	return eventlog.Unavailable(statusError(resp))
}

// tookNothing reports whether the service promises that it took nothing and
// may be asked again.
func tookNothing(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isRejection(status int) bool { return status >= 400 && status < 500 }

func decodeSmall(resp *http.Response, v any) error {
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxSmallBytes)).Decode(v), "decode answer")
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxSmallBytes))
	return errors.Newf("log service answered %s: %s", resp.Status, strings.TrimSpace(string(text)))
}
