package outbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/peerpb"
)

// Guards against a notice that is lost because the response to an earlier call is read last.
func TestServerNotices_EarlierCallDoesNotClear(t *testing.T) {
	var n serverNotices
	now := time.Now()
	m := &peerpb.ServerNotice{ServerId: "i-1", Limited: true, RequestsPerSecond: 2}
	n.set("h", m, now)
	n.clear("h", now.Add(-time.Millisecond))
	must.True(t, m == n.get("h"))
	n.clear("h", now.Add(time.Millisecond))
	must.Nil(t, n.get("h"))
}

// Guards against a table that grows with every host that there ever was.
func TestServerNotices_DropsOldNotices(t *testing.T) {
	var n serverNotices
	now := time.Now()
	n.set("old", &peerpb.ServerNotice{Leaving: true}, now)
	n.set("new", &peerpb.ServerNotice{Leaving: true}, now.Add(noticeTTL+time.Second))
	must.Nil(t, n.get("old"))
	must.NotNil(t, n.get("new"))
}
