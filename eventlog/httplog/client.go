package httplog

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Options tells how the service is reached.
type Options struct {
	// BaseURL is the service's root, such as "http://10.0.0.9:7000".
	BaseURL string
	// AppendTimeout bounds one append. After it the outcome is unknown.
	AppendTimeout time.Duration
	// ReadTimeout bounds one read beyond the time that the read waits for
	// records, and a request for the bounds.
	ReadTimeout time.Duration
	// MaxReadBytes bounds the answer to one read. It must exceed what the
	// service sends at once.
	MaxReadBytes int64
	// HTTPClient sends the requests; its redirects are not followed. It must
	// not repeat a request by itself. Nil means NewHTTPClient().
	HTTPClient *http.Client
}

// DefaultOptions suit a service that is a few milliseconds away.
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
)

// NewHTTPClient returns the client used by default. It speaks HTTP/1.1 only:
// there, a request that times out closes its connection, so that the next one
// connects anew. A multiplexed connection that has gone silent would be used
// for request after request, and each would time out.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:           &protocols,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// Client reaches the streams of one service.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client. Zero fields of opts get their defaults; a BaseURL that
// is not valid shows at the first request.
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
	// A followed redirect would send the record a second time.
	hc.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{opts: opts, http: &hc}
}

// Stream returns the stream of a name. It costs nothing to ask again.
func (c *Client) Stream(name string) eventlog.Log {
	return &stream{c: c, url: c.opts.BaseURL + "/v1/streams/" + url.PathEscape(name)}
}
