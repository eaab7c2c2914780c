package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/configpb"
)

// headerTenant is the platform's name of the header that carries the account.
var headerTenant = names.CustomerName

// putAccounts writes a document with a route of each kind, a public route and the given accounts, and
// waits until it is in force.
func (f *storeFleet) putAccounts(version int, accounts string) {
	f.t.Helper()
	f.putDocumentWith(version, fmt.Sprintf(`,"accounts":[%s]`, accounts),
		`,{"name":"open","virtual_host":"h.example","path_prefix":"/open/","kind":"CALL_KIND_IDEMPOTENT","timeout_ms":5000,"service":"signs","max_attempts":2,"public":true}`)
}

const twoAccounts = `{"name":"alder","api_keys":["key-a1","key-a2"],"priority":0},{"name":"birch","api_keys":["key-b"]}`

// newKeyFleet returns two daemons with two accounts in force, and the server behind the second one.
func newKeyFleet(t *testing.T) (*storeFleet, *server) {
	f := newStoreFleet(t, 2)
	f.putAccounts(3, twoAccounts)
	s := newServer(t, "i-1")
	f.announce(f.daemons[1], s, "ready", 1)
	f.eventually("calls with a key reach the server", func() bool {
		resp, _ := f.callWith(f.daemons[0], "/get/x", http.Header{"Authorization": {"Bearer key-a1"}})
		return resp.StatusCode == http.StatusOK
	})
	f.eventually("all runs in progress are known", func() bool {
		resp, _ := f.callWith(f.daemons[0], "/get/x", nil)
		return resp.StatusCode == http.StatusUnauthorized
	})
	return f, s
}

// callWith sends a GET request with additional header fields.
func (f *storeFleet) callWith(d *testDaemon, path string, header http.Header) (*http.Response, string) {
	f.t.Helper()
	return f.send(d, http.MethodGet, path, "", header)
}

// The first daemon serves only requests with one known key. The server gets the account's name, never
// the key, whatever the caller states.
func TestStore_APIKeys(t *testing.T) {
	f, s := newKeyFleet(t)
	for name, c := range map[string]struct {
		path   string
		header http.Header
		status int
		tenant string
	}{
		"known":                    {"/get/x", http.Header{"Authorization": {"Bearer key-a2"}}, 200, "alder"},
		"other account":            {"/get/x", http.Header{"Authorization": {"bearer key-b"}}, 200, "birch"},
		"own name of a tenant":     {"/get/x", http.Header{"Authorization": {"Bearer key-b"}, headerTenant: {"alder"}}, 200, "birch"},
		"missing":                  {"/get/x", nil, 401, ""},
		"missing, with a name":     {"/get/x", http.Header{headerTenant: {"alder"}}, 401, ""},
		"unknown":                  {"/get/x", http.Header{"Authorization": {"Bearer key-c"}}, 401, ""},
		"digest in place of a key": {"/get/x", http.Header{"Authorization": {"Bearer " + apikey.DigestOf("key-b").ID()}}, 401, ""},
		"two fields":               {"/get/x", http.Header{"Authorization": {"Bearer key-a1", "Bearer key-b"}}, 401, ""},
		"malformed":                {"/get/x", http.Header{"Authorization": {"key-a1"}}, 401, ""},
		"overlong":                 {"/get/x", http.Header{"Authorization": {"Bearer " + strings.Repeat("k", 4000)}}, 401, ""},
		"in the query":             {"/get/x?Authorization=Bearer%20key-a1", nil, 401, ""},
		"in another header":        {"/get/x", http.Header{"Proxy-Authorization": {"Bearer key-a1"}}, 401, ""},
		"no such route":            {"/none/x", http.Header{"Authorization": {"Bearer key-a1"}}, 404, ""},
		"public":                   {"/open/x", nil, 200, ""},
		"public with a name":       {"/open/x", http.Header{headerTenant: {"alder"}}, 200, ""},
		"public with a key":        {"/open/x", http.Header{"Authorization": {"Bearer key-a1"}}, 200, "alder"},
		"public with a bad key":    {"/open/x", http.Header{"Authorization": {"Bearer key-c"}}, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := f.callWith(f.daemons[0], c.path, c.header)
			must.Eq(t, c.status, resp.StatusCode, must.Sprint(body))
			must.Eq(t, c.status == http.StatusUnauthorized, resp.Header.Get("Www-Authenticate") == "Bearer")
			if c.status != http.StatusOK {
				must.Eq(t, "no", resp.Header.Get("Crocuscross-Run"))
				return
			}
			received, _ := s.lastRequest()
			must.Eq(t, c.tenant, received.Header.Get(headerTenant))
			must.MapNotContainsKey(t, received.Header, "Authorization")
		})
	}
}

// Without accounts in force, the header belongs to the backend server.
func TestStore_AuthorizationIsForwardedWithoutAccounts(t *testing.T) {
	f := newStoreFleet(t, 1)
	f.putDocument(3)
	s := newServer(t, "i-1")
	f.announce(f.daemons[0], s, "ready", 1)
	f.waitServed(f.daemons[0], s)
	_, _ = f.callWith(f.daemons[0], "/get/x", http.Header{"Authorization": {"Basic abc"}})
	received, _ := s.lastRequest()
	must.Eq(t, "Basic abc", received.Header.Get("Authorization"))
}

// A caller without a valid key is answered before it has sent its body.
func TestStore_UnauthenticatedBodyIsNotRead(t *testing.T) {
	f, _ := newKeyFleet(t)
	c := dialCaller(t, f.daemons[0])
	c.send("POST /put/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\nAuthorization: Bearer key-c\r\n\r\n")
	must.Eq(t, http.StatusUnauthorized, c.receive().StatusCode)
}

// A trailer does not authenticate a request.
func TestStore_KeyInTrailerIsIgnored(t *testing.T) {
	f, _ := newKeyFleet(t)
	c := dialCaller(t, f.daemons[0])
	c.send("POST /put/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n" +
		"1\r\nx\r\n0\r\nAuthorization: Bearer key-a1\r\n\r\n")
	must.Eq(t, http.StatusUnauthorized, c.receive().StatusCode)
}

// The key of one request does not authenticate another one on the same connection.
func TestStore_PipelinedRequestsAuthenticateSeparately(t *testing.T) {
	f, _ := newKeyFleet(t)
	c := dialCaller(t, f.daemons[0])
	c.send(getWithKey("key-a1") + getWithKey("key-c") + getWithKey("key-b"))
	must.Eq(t, http.StatusOK, c.receive().StatusCode)
	must.Eq(t, http.StatusUnauthorized, c.receive().StatusCode)
	must.Eq(t, http.StatusOK, c.receive().StatusCode)
}

// A key is revoked and another one added between two requests on a connection.
func TestStore_RevokedKeyIsRefusedOnKeptConnection(t *testing.T) {
	f, _ := newKeyFleet(t)
	c := dialCaller(t, f.daemons[0])
	c.send(getWithKey("key-a1"))
	must.Eq(t, http.StatusOK, c.receive().StatusCode)
	f.putAccounts(4, `{"name":"alder","api_keys":["key-a2","key-a3"]},{"name":"birch","api_keys":["key-b"]}`)
	c.send(getWithKey("key-a1"))
	must.Eq(t, http.StatusUnauthorized, c.receive().StatusCode)
	c.send(getWithKey("key-a3"))
	must.Eq(t, http.StatusOK, c.receive().StatusCode)
}

// The key of two accounts could not be attributed to one of them. The document is rejected, and the
// one in force stays.
func TestStore_KeyOfTwoAccountsIsRejected(t *testing.T) {
	f, _ := newKeyFleet(t)
	f.store.PutConfig(documentWith(4, `,"accounts":[{"name":"alder","api_keys":["key-x"]},{"name":"birch","api_keys":["key-x"]}]`, ""))
	f.putAccounts(5, `{"name":"alder","api_keys":["key-x"]}`)
	resp, _ := f.callWith(f.daemons[0], "/get/x", http.Header{"Authorization": {"Bearer key-x"}})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	state := f.daemons[0].board.State.Load()
	must.Eq(t, 5, state.Document().GetVersion())
}

// A backend server calls another service while it processes a request. The call has no key and is
// served; the same call is refused when no run is in progress.
func TestStore_CallOfBackendServerNeedsNoKey(t *testing.T) {
	f := newStoreFleet(t, 1)
	f.putAccounts(3, twoAccounts)
	d := f.daemons[0]
	s := newServer(t, "i-1")
	plain := s.Config.Handler
	nested := make(chan int, 10)
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/outer" {
			req := httptest.NewRequest(http.MethodGet, "http://"+d.ln.callers.Addr().String()+"/get/inner", nil)
			req.RequestURI, req.Host = "", "h.example"
			req.Header.Set(names.RequestID, "id-2")
			req.Header.Set(names.Remaining, r.Header.Get(names.Remaining))
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				nested <- resp.StatusCode
				_ = resp.Body.Close()
			}
		}
		plain.ServeHTTP(w, r)
	})
	f.announce(d, s, "ready", 1)
	f.eventually("calls are refused without a key", func() bool {
		resp, _ := f.callWith(d, "/get/x", nil)
		return resp.StatusCode == http.StatusUnauthorized
	})
	resp, _ := f.callWith(d, "/get/outer", http.Header{"Authorization": {"Bearer key-b"}})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, http.StatusOK, <-nested)
}

// A customer without API keys is named by a header, as before. Once it has one, only the key counts,
// and the backend server gets the name that belongs to the key.
func TestDaemon_CustomerWithKeysNeedsOne(t *testing.T) {
	received := make(chan http.Header, 100)
	f := newFleetWithBackend(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
	}))
	d := f.daemons[0]
	call := func(header http.Header) int {
		resp := f.call(d, http.MethodGet, "/signs/1", "", header)
		must.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	named, withKey := http.Header{"X-Customer": {"garage"}}, http.Header{"X-Customer": {"nobody"}, "Authorization": {"Bearer key-1"}}
	must.Eq(t, http.StatusOK, call(named))
	must.Eq(t, http.StatusForbidden, call(withKey))
	<-received
	digest := apikey.DigestOf("key-1")
	f.waitConverged(f.publish(&configpb.Change{Resource: &configpb.Resource{Kind: &configpb.Resource_ApiKey{
		ApiKey: &configpb.ApiKey{Id: digest.ID(), Customer: "garage", Digest: digest[:]},
	}}}), 1)
	must.Eq(t, http.StatusUnauthorized, call(named))
	must.Eq(t, http.StatusOK, call(withKey))
	header := <-received
	must.Eq(t, "garage", header.Get("X-Customer"))
	must.MapNotContainsKey(t, header, "Authorization")
}

// caller is a connection of a caller to a daemon.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dialCaller(t *testing.T, d *testDaemon) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", d.ln.callers.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) send(raw string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, raw)
	must.NoError(c.t, err)
}

func (c *caller) receive() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	must.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(c.t, err)
	return resp
}

func getWithKey(key string) string {
	return fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: h.example\r\n%s: id-1\r\nAuthorization: Bearer %s\r\n\r\n", names.RequestID, key)
}
