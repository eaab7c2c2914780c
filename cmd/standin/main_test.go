package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// start runs a stand-in until the test ends and returns its address, and how to
// end it before.
func start(t *testing.T, args ...string) (addr string, stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	status := make(chan int, 1)
	go func() {
		status <- run(&environment{ctx: ctx, stdout: w, stderr: io.Discard}, args)
		_ = w.Close()
	}()
	line, err := bufio.NewReader(r).ReadString('\n')
	must.NoError(t, err)
	addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	must.True(t, ok, must.Sprint(line))
	stop = func() int {
		cancel()
		return <-status
	}
	return addr, stop
}

// The three stand-ins work together, each tells its address in the first line,
// and each ends by itself with status 0 when it is told to. A record goes on
// after a restart.
func TestStandins(t *testing.T) {
	addr, stop := start(t, "log", "--max-appends", "300")
	off, err := httplog.New(httplog.Options{BaseURL: "http://" + addr}).Stream(eventlog.StreamConfig).Append(t.Context(), []byte("x"))
	must.NoError(t, err)
	must.Eq(t, 1, off)
	must.Eq(t, statusOK, stop())

	record := filepath.Join(t.TempDir(), "executions.jsonl")
	for range 2 {
		addr, stop = start(t, "backend", "--service", "sign-feed", "--service-time", "0s", "--linger", "0s", "--record", record)
		var out bytes.Buffer
		status := run(&environment{ctx: t.Context(), stdout: &out, stderr: io.Discard}, []string{
			"caller", "--target", "http://" + addr, "--customer", "garage", "--count", "20",
			"--call", "3 GET /signs/1", "--call", "POST /holds", "--output", "json",
		})
		must.Eq(t, statusOK, status)
		var s caller.Summary
		must.NoError(t, json.Unmarshal(out.Bytes(), &s))
		must.Eq(t, 20, s.Count(caller.OK))
		must.Eq(t, statusOK, stop())
	}
	raw, err := os.ReadFile(record)
	must.NoError(t, err)
	must.Eq(t, 80, bytes.Count(raw, []byte("\n")))
}

func TestExitStatus(t *testing.T) {
	for name, tc := range map[string]struct {
		args   string
		status int
		out    string
		err    string
	}{
		"help":        {"--help", statusOK, "Commands:", ""},
		"log help":    {"log --help", statusOK, "lose-answers", ""},
		"backend":     {"backend --help", statusOK, "executions", ""},
		"caller help": {"caller --help", statusOK, "--keys issued", ""},
		"no flags":    {"caller", statusUsage, "", "required flag"},
		"unknown":     {"proxy", statusUsage, "", "expected command but got \"proxy\""},
		"bad listen":  {"log --listen nowhere", statusFailed, "", "listen"},
		"bad call":    {"caller --target http://127.0.0.1:1 --customer c --call x", statusFailed, "", "METHOD"},
		"bad slots":   {"backend --service s --slots 0", statusFailed, "", "slots"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, err bytes.Buffer
			status := run(&environment{ctx: t.Context(), stdout: &out, stderr: &err}, strings.Fields(tc.args))
			must.Eq(t, tc.status, status)
			must.StrContains(t, out.String(), tc.out)
			must.StrContains(t, err.String(), tc.err)
		})
	}
}
