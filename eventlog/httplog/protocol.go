// Package httplog implements eventlog.Log over the HTTP API of the platform's log service.
//
// The service provides these endpoints:
//
//	POST /v1/streams/{name}/records                         appends the body: 201, AppendResponse
//	GET  /v1/streams/{name}/records?from=N&limit=K&wait=10s reads: 200, records; 410, TruncatedResponse
//	GET  /v1/streams/{name}/bounds                          200, BoundsResponse
//
// Records are sent as length-delimited configpb.SequencedRecord messages. Status 408, 429 or 503
// means that the request had no effect and may be retried. Any other 4xx status means that the
// service will never accept the request. After any other status, the outcome of an append is
// unknown.
package httplog

import "github.com/crocuscross/crocuscross/eventlog"

// ContentTypeRecords is the media type of a response that contains length-delimited records.
const ContentTypeRecords = "application/vnd.crocuscross.records"

// Query parameters of a read.
const (
	// ParamFrom is the offset of the first requested record.
	ParamFrom = "from"
	// ParamLimit is the maximum number of records in the response.
	ParamLimit = "limit"
	// ParamWait is how long the service waits for the first record, in the format of
	// time.ParseDuration.
	ParamWait = "wait"
)

// AppendResponse is the JSON body of the response to an append. Offset is that of the new record.
type AppendResponse struct {
	Offset eventlog.Offset `json:"offset"`
}

// TruncatedResponse is the JSON body of the response to a read of records that are no longer
// retained. First is the lowest retained offset.
type TruncatedResponse struct {
	First eventlog.Offset `json:"first"`
}

// BoundsResponse is the JSON body of the response to a request for bounds.
type BoundsResponse struct {
	First eventlog.Offset `json:"first"`
	End   eventlog.Offset `json:"end"`
}
