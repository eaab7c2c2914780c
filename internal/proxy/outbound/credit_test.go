package outbound

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// Guards against sending more of a body than the gate has requested, here in two parts.
func TestCreditReader_WaitsForCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCreditReader(strings.NewReader("question and answer"), 19, 8)
		got := make(chan string, 1)
		go func() {
			b, err := io.ReadAll(c)
			must.NoError(t, err)
			got <- string(b)
		}()
		synctest.Wait()
		must.Eq(t, 0, c.available)
		must.Eq(t, 0, len(got))
		c.add(100)
		must.Eq(t, "question and answer", <-got)
	})
}

// An attempt may end before the gate has requested the rest of the body. A pending read must
// return, since the call waits for it.
func TestCreditReader_CloseUnblocksRead(t *testing.T) {
	c := newCreditReader(strings.NewReader("question"), 8, 0)
	done := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 8))
		done <- err
	}()
	c.close()
	must.ErrorIs(t, <-done, errAttemptEnded)
	var none *creditReader
	none.add(1)
	none.close()
}

// When the link is lost, the call cannot have run if the gate can never receive the whole body.
func TestCreditReader_ReportsTruncation(t *testing.T) {
	for allowed, truncated := range map[int64]bool{4: true, 8: false} {
		c := newCreditReader(strings.NewReader("question"), 8, allowed)
		_, err := c.Read(make([]byte, 32))
		must.NoError(t, err)
		must.Eq(t, truncated, c.closeTruncated())
		_, err = c.Read(make([]byte, 32))
		must.ErrorIs(t, err, errAttemptEnded)
	}
	must.False(t, (*creditReader)(nil).closeTruncated())
}
