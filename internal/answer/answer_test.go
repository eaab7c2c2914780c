package answer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
)

// writeError returns the response of Write to which a Content-Length was set before.
func writeError(err error) *http.Response {
	rec := httptest.NewRecorder()
	rec.Header().Set("Content-Length", "99")
	answer.Write(rec, err)
	return rec.Result()
}

func TestWriteEveryKind(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			resp := writeError(errkind.New(kind, "some text"))
			want := kind.Response()
			must.Eq(t, want.Status, resp.StatusCode)
			must.Eq(t, string(kind), resp.Header.Get(answer.HeaderError))
			must.Eq(t, string(want.Run), resp.Header.Get(answer.HeaderRun))
			must.Eq(t, want.RetryAfter > 0, resp.Header.Get("Retry-After") != "")
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, strconv.Itoa(len(body)), resp.Header.Get("Content-Length"))
			must.EqJSON(t, `{"error":{"kind":"`+string(kind)+`","text":"some text","run":"`+string(want.Run)+`"}}`, string(body))
		})
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	for after, want := range map[time.Duration]string{
		time.Millisecond: "1", time.Second: "1", 1001 * time.Millisecond: "2", time.Minute: "60",
	} {
		resp := writeError(errkind.New(errkind.RateLimited, "slow down").WithRetryAfter(after))
		must.Eq(t, want, resp.Header.Get("Retry-After"))
	}
}

// An error without a kind results from a bug in the daemon, and its text may contain addresses of
// hosts. The caller sees only "internal error".
func TestErrorWithoutKindHidesText(t *testing.T) {
	resp := writeError(errors.New("dial 10.0.0.7:7001: refused"))
	must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
	err := answer.FromResponse(resp)
	must.Eq(t, errkind.Internal, errkind.Of(err))
	must.EqError(t, err, "internal error")
}

func TestFromResponseDecodesWrite(t *testing.T) {
	err := answer.FromResponse(writeError(errors.Wrap(errkind.New(errkind.Overloaded, "no slot").WithRetryAfter(3*time.Second), "gate")))
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	must.Eq(t, 3*time.Second, errkind.RetryAfterOf(err))
	must.EqError(t, err, "gate: no slot")
	must.NoError(t, answer.FromResponse(httptest.NewRecorder().Result()))
}
