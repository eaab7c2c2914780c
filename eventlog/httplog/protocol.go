// Package httplog reaches the platform's append-only log service over HTTP.
//
// The service answers
//
//	POST /v1/streams/{name}/records                         append the body: 201, AppendAnswer
//	GET  /v1/streams/{name}/records?from=N&limit=K&wait=10s read: 200, records; 410, TruncatedAnswer
//	GET  /v1/streams/{name}/bounds                          200, BoundsAnswer
//
// Records are answered as configpb.SequencedRecord messages with a length
// before each. 408, 429 and 503 mean that the service took nothing and may be
// asked again; other 4xx mean that it will never take the request. Every other
// status leaves the outcome of an append open.
package httplog

import "github.com/crocuscross/crocuscross/eventlog"

// ContentTypeRecords is the media type of length-delimited records.
const ContentTypeRecords = "application/vnd.crocuscross.records"

// Query parameters of a read.
const (
	// ParamFrom is the first offset asked for.
	ParamFrom = "from"
	// ParamLimit is the highest number of records to answer.
	ParamLimit = "limit"
	// ParamWait is how long the service waits for the first record, in the
	// form of time.ParseDuration.
	ParamWait = "wait"
)

// AppendResponse is the JSON body that answers an append.
type AppendResponse struct {
	Offset eventlog.Offset `json:"offset"`
}

// TruncatedResponse is the JSON body that answers a read of records that are no
// longer retained.
type TruncatedResponse struct {
	First eventlog.Offset `json:"first"`
}

// BoundsResponse is the JSON body that answers a request for the bounds.
type BoundsResponse struct {
	First eventlog.Offset `json:"first"`
	End   eventlog.Offset `json:"end"`
}
