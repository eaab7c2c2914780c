package kit

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Client sends requests to the daemon of one host.
type Client struct {
	host *Host
	http *http.Client

	mu      sync.Mutex
	answers []Answer
}

// Answer is what became of a request.
type Answer struct {
	ID       string
	Sent     time.Time
	Duration time.Duration
	// Status is 0 if there was no answer.
	Status int
	Err    error
}

// Request is one request of a client.
type Request struct {
	Method, Route, Key, Body string
	Deadline                 time.Duration
}

var (
	lastID atomic.Uint64
	// sentAt maps the ID of each request to when it was sent.
	sentAt sync.Map
)

// SentAt returns when a request was sent, the zero time if no client sent it.
func SentAt(id string) time.Time {
	at, _ := sentAt.Load(id)
	t, _ := at.(time.Time)
	return t
}

// NewClient returns a client of the daemon of a host.
func (h *Host) NewClient() *Client {
	return &Client{host: h, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// Do sends a request and waits for its answer.
func (c *Client) Do(q Request) Answer {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	a := Answer{ID: id, Sent: time.Now()}
	sentAt.Store(id, a.Sent)
	a.Status, a.Err = c.send(ctx, id, q)
	a.Duration = time.Since(a.Sent)
	c.host.d.Record.LogAt(a.Sent, "client: "+q.Method, "request", id, "route", q.Route, "via", c.host.Name, "status", a.Status,
		"after", a.Duration.Round(time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

func (c *Client) send(ctx context.Context, id string, q Request) (int, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, fmt.Sprintf("http://%s/%s/%s", c.host.addr(portOutbound), q.Route, id), strings.NewReader(q.Body))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Host = q.Route + ".example"
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerDeadline, fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Key != "" {
		req.Header.Set("Authorization", "Bearer "+q.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Answers returns what became of the client's requests.
func (c *Client) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}

// Pace calls f in new goroutines at a rate until the end, and waits for all of them.
func Pace(perSecond float64, end time.Time, f func(i int)) {
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for i := 0; next.Before(end); i++ {
		time.Sleep(time.Until(next))
		wg.Go(func() { f(i) })
		next = next.Add(interval)
	}
	wg.Wait()
}
