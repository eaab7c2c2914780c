// Command 2 shows whether a request that isn't idempotent runs twice, or is answered as not run and
// has run, if a target rejects some requests and sends some of its answers a second time.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/review/kit"
)

const (
	service, otherService = "site-ops", "sign-feed"
	route                 = "correction"

	// shed is the share of the requests that the target rejects while its health check is good, at
	// most 0.45 for 6.5 s on the pages.
	shed    = 0.12
	shedFor = 6500 * time.Millisecond
	// extra is the share of the answers that the target sends a second time, late.
	extra    = 0.03
	extraFor = 5 * time.Second
	lateBy   = 30 * time.Millisecond
	// episodes is how often both begin, one every pause.
	episodes = 7
	pause    = 8 * time.Second

	work      = 80 * time.Millisecond
	perSecond = 90
)

// target is a target that may shed requests and repeat answers.
type target struct {
	sheds, repeats atomic.Bool
	record         *kit.Record
}

func main() {
	kit.Main(kit.Options{Services: []string{service, otherService}, Zones: 1}, run)
}

func run(d *kit.Deployment) (bool, error) {
	t := &target{record: d.Record}
	server, err := d.Hosts[0].StartRawTarget("i-ops", t.serve)
	if err != nil {
		return false, err
	}
	if _, err := d.Hosts[1].StartTarget("i-feed", work); err != nil {
		return false, err
	}
	c := kit.NewConfig(3, service, otherService)
	c.AddRoute(route, service, kit.NonIdempotent, 1500)
	d.Publish(c)
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	client := d.Hosts[1].NewClient()
	end := time.Now().Add(episodes*pause + 2*time.Second)
	var wg sync.WaitGroup
	wg.Go(func() {
		kit.Pace(perSecond, end, func(int) {
			client.Do(kit.Request{Method: http.MethodDelete, Route: route, Deadline: 3 * time.Second})
		})
	})
	time.Sleep(2 * time.Second)
	for range episodes {
		if kit.Trouble() {
			d.Record.Log("target: sheds requests and repeats answers")
			t.sheds.Store(true)
			t.repeats.Store(true)
			time.AfterFunc(extraFor, func() { t.repeats.Store(false) })
			time.AfterFunc(shedFor, func() { t.sheds.Store(false) })
		}
		time.Sleep(pause)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return check(d, server.Runs(), client.Answers()), nil
}

// check reports whether a request ran more than once, or was answered as not run and has run.
func check(d *kit.Deployment, runs []kit.Run, answers []kit.Answer) bool {
	count := map[string]int{}
	for _, r := range runs {
		count[r.ID]++
	}
	twice, refused := 0, 0
	for _, a := range answers {
		switch n := count[a.ID]; {
		case n > 1:
			twice++
			d.Record.Log("TWICE: ran more than once", "request", a.ID, "runs", n, "status", a.Status)
		case n == 1 && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests):
			refused++
			d.Record.Log("REFUSED: answered as not run and has run", "request", a.ID, "status", a.Status)
		}
	}
	d.Record.Log("requests", "sent", len(answers), "twice", twice, "refused", refused)
	return twice+refused > 0
}

// serve serves one connection, one request at a time.
func (t *target) serve(server *kit.Target, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	w := &writer{conn: conn}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == kit.HealthPath {
			w.write("HTTP/1.1 200 OK\r\nX-Crocuscross-Instance-Id: " + server.ID + "\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := r.Header.Get("X-Crocuscross-Request-Id")
		answer := t.answer(server, r, id)
		w.write(answer)
		if t.repeats.Load() && rand.Float64() < extra {
			time.AfterFunc(lateBy, func() {
				t.record.Log("target: sends its answer a second time", "request", id)
				w.write(answer)
			})
		}
	}
}

// answer rejects or runs a request.
func (t *target) answer(server *kit.Target, r *http.Request, id string) string {
	head := "X-Crocuscross-Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n"
	if want := r.Header.Get("X-Crocuscross-Expected-Instance"); want != "" && want != server.ID {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Crocuscross-Not-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	if t.sheds.Load() && rand.Float64() < shed {
		t.record.Log("target: rejects", "request", id)
		return "HTTP/1.1 503 Service Unavailable\r\nX-Crocuscross-Not-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	server.AddRun(r)
	time.Sleep(work)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Crocuscross-Server-Signature: %s.%s\r\n%sContent-Length: 2\r\n\r\nok", server.ID, id, head)
}

// writer writes whole answers to a connection.
type writer struct {
	mu   sync.Mutex
	conn net.Conn
}

func (w *writer) write(answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = io.WriteString(w.conn, answer)
}
