package main

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/proxy/outbound"
	"github.com/crocuscross/crocuscross/internal/settings"
)

// reply is what the demo looks at of an answer.
type reply struct {
	status     int
	servedBy   string
	retryAfter string
	key        string
	body       string
}

// request sends a request to the first host.
func (d *demo) request(method, path, customer, payload string) (reply, error) {
	return d.requestAt(callers, method, path, customer, payload, "")
}

func (d *demo) requestAt(addr, method, path, customer, payload, key string) (reply, error) {
	req, err := http.NewRequestWithContext(d.ctx, method, "http://"+addr+path, strings.NewReader(payload))
	if err != nil {
		return reply{}, errors.Wrap(err, "build request")
	}
	req.Header.Set(body.HeaderCustomer, customer)
	if key != "" {
		req.Header.Set(body.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{
		status:     resp.StatusCode,
		servedBy:   resp.Header.Get(outbound.HeaderServedBy),
		retryAfter: resp.Header.Get("Retry-After"),
		key:        resp.Header.Get(body.HeaderIdempotencyKey),
		body:       string(b),
	}, errors.Wrap(err, "read answer")
}

// key gets an idempotency key from the first host.
func (d *demo) key(customer string) (string, error) {
	r, err := d.request(http.MethodPost, outbound.KeysPath, customer, "")
	if err == nil && r.key == "" {
		err = errors.Newf("no key: status %d: %s", r.status, r.body)
	}
	return r.key, err
}

func loadHost(file string) (*settings.Settings, error) { return settings.Load(file) }
