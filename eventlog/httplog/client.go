package httplog

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Options configures a Client.
type Options struct {
	// BaseURL is the root URL of the service, such as "http://10.0.0.9:7000".
	BaseURL string
	// AppendTimeout limits one append. An append that times out has an unknown outcome.
	AppendTimeout time.Duration
	// ReadTimeout limits a request for bounds. It also limits a read, in addition to the time for
	// which the read waits for records.
	ReadTimeout time.Duration
	// MaxReadBytes limits the size of the response to one read. It must exceed the amount that the
	// service sends in one response.
	MaxReadBytes int64
	// HTTPClient sends the requests. The log client does not follow redirects. HTTPClient must not
	// retry requests on its own. If nil, NewHTTPClient() is used.
	HTTPClient *http.Client
}

// DefaultOptions returns options for a service with a round-trip time of a few milliseconds.
func DefaultOptions(baseURL string) Options {
	return Options{
		BaseURL:       baseURL,
		AppendTimeout: 2 * time.Second,
		ReadTimeout:   5 * time.Second,
		MaxReadBytes:  16 << 20,
	}
}

const (
	dialTimeout         = time.Second
	idleConnTimeout     = time.Minute
	maxIdleConnsPerHost = 4
	// maxHeadBytes limits the head of a response that is held in memory.
	maxHeadBytes = 64 << 10
)

// NewHTTPClient returns the default HTTP client. It uses HTTP/1.1 only, because a timed-out
// HTTP/1.1 request closes its connection and the next request opens a new one. A multiplexed
// connection that no longer delivers data would be reused, and every request on it would time out.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:           &protocols,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Client accesses the streams of one log service.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client. Zero fields of opts are set to their defaults. An invalid BaseURL is
// reported by the first request.
func New(opts Options) *Client {
	def := DefaultOptions(opts.BaseURL)
	if opts.AppendTimeout <= 0 {
		opts.AppendTimeout = def.AppendTimeout
	}
	if opts.ReadTimeout <= 0 {
		opts.ReadTimeout = def.ReadTimeout
	}
	if opts.MaxReadBytes <= 0 {
		opts.MaxReadBytes = def.MaxReadBytes
	}
	if opts.HTTPClient == nil {
		opts.HTTPClient = NewHTTPClient()
	}
	opts.BaseURL = strings.TrimRight(opts.BaseURL, "/")
	hc := *opts.HTTPClient
	// Following a redirect would send the record a second time.
	hc.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{opts: opts, http: &hc}
}

// Stream returns the named stream. It sends no request, so it may be called repeatedly.
func (c *Client) Stream(name string) eventlog.Log {
	return &stream{c: c, url: c.opts.BaseURL + "/v1/streams/" + url.PathEscape(name)}
}
