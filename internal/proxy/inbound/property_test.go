package inbound

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
)

// modelResponse is a response in a model of the server, with times in milliseconds.
type modelResponse struct {
	sent, written, read int
	complete            bool
	notice              dialect.ServerNotice
}

// statement is what the server states from a time on.
type statement struct {
	at     int
	notice dialect.ServerNotice
}

// statedAt returns the index of the statement in force at a time.
func statedAt(statements []statement, at int) int {
	i := 0
	for i+1 < len(statements) && statements[i+1].at <= at {
		i++
	}
	return i
}

// drawResponses draws responses that are read in any order, each with what the server states when it
// writes it. Rejections may lack the limit.
func drawResponses(rt *rapid.T, statements []statement) []modelResponse {
	var list []modelResponse
	for range rapid.IntRange(1, 40).Draw(rt, "responses") {
		var r modelResponse
		r.sent = rapid.IntRange(0, 1000).Draw(rt, "sent")
		r.written = r.sent + rapid.IntRange(1, 300).Draw(rt, "work")
		r.read = r.written + rapid.IntRange(1, 300).Draw(rt, "delay")
		r.complete = rapid.IntRange(0, 4).Draw(rt, "complete") > 0
		r.notice = statements[statedAt(statements, r.written)].notice
		if !r.complete && rapid.Bool().Draw(rt, "bare") {
			r.notice = dialect.ServerNotice{}
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b modelResponse) int { return a.read - b.read })
	return list
}

// Responses overtake each other while a server states limits, changes and lifts them. The limit in
// force is no higher than what the server has stated since it wrote the latest response that was read;
// once a response to a later request shows that there is none, there is none.
func TestServerNotices_Property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		statements := []statement{{}}
		for at := 0; at < 1200; {
			at += rapid.IntRange(50, 600).Draw(rt, "pause")
			s := statement{at: at}
			if limit := rapid.IntRange(-3, 9).Draw(rt, "limit"); limit >= 0 {
				s.notice = limitedTo(float64(limit))
			}
			statements = append(statements, s)
		}
		steps := &noticeSteps{epoch: time.Now()}
		var read []modelResponse
		for _, r := range drawResponses(rt, statements) {
			got := steps.response(r.notice, r.complete, r.sent, r.read)
			read = append(read, r)
			if highest, bound := modelBound(statements, read, r.read); bound && (!got.Limited || got.RateLimit > highest) {
				rt.Fatalf("limit in force %+v, the server states at most %g since it was read", got, highest)
			}
			if modelLifted(read) && got.Limited {
				rt.Fatalf("limit in force %+v after a later request showed that there is none", got)
			}
		}
	})
}

// modelBound returns the highest limit that the server states from the time at which it wrote the
// latest of the responses read until now, and whether it states one all that time.
func modelBound(statements []statement, read []modelResponse, now int) (highest float64, bound bool) {
	written := -1
	for _, r := range read {
		if r.complete || r.notice.Limited {
			written = max(written, r.written)
		}
	}
	if written < 0 {
		return 0, false
	}
	for _, s := range statements[statedAt(statements, written) : statedAt(statements, now)+1] {
		if !s.notice.Limited {
			return 0, false
		}
		highest = max(highest, s.notice.RateLimit)
	}
	return highest, true
}

// modelLifted reports whether the response read last is one without a limit to a request that was
// sent after all responses with a limit had been read.
func modelLifted(read []modelResponse) bool {
	last := read[len(read)-1]
	return last.complete && !last.notice.Limited && !slices.ContainsFunc(read, func(r modelResponse) bool {
		return r.notice.Limited && r.read >= last.sent
	})
}
