package telemetry

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/quota"
)

const (
	root = "../../"
	docs = root + "docs/"
)

var (
	metricName  = regexp.MustCompile(`crocuscross_[a-z0-9_]+`)
	selector    = regexp.MustCompile(`(crocuscross_[a-z0-9_]+)\{([^}]*)\}`)
	labelMatch  = regexp.MustCompile(`(\w+)(?:=~|!~|!=|=)"([^"]*)"`)
	description = regexp.MustCompile(`fqName: "([^"]+)".*variableLabels: \{([^}]*)\}`)
	logMessage  = regexp.MustCompile("`((?:announce|apply|capacity|checkpoints?|claims|contacts|daemon|drain|membership|operator|peer|quarantine|quota|recovery|spread): [^`]+)`")
	kindRow     = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\| (no|unknown) \\|")
	pageLink    = regexp.MustCompile(`(?:operations/|\()([a-z-]+\.md)`)
)

// labelRecorder is a Registerer that records the label names of all registered metrics. A gathered
// registry would not do, because metrics whose labels were never set are not in a scrape.
type labelRecorder struct {
	prometheus.Registerer
	labels map[string][]string
}

func (d *labelRecorder) MustRegister(collectors ...prometheus.Collector) {
	for _, c := range collectors {
		ch := make(chan *prometheus.Desc, 100)
		c.Describe(ch)
		close(ch)
		for desc := range ch {
			m := description.FindStringSubmatch(desc.String())
			d.labels[m[1]] = strings.Split(m[2], ",")
			switch c.(type) {
			case *prometheus.HistogramVec, prometheus.Histogram:
				d.labels[m[1]+"_bucket"] = append(d.labels[m[1]], "le")
			}
		}
	}
}

// registeredMetrics returns the label names of every metric of a daemon by metric name.
func registeredMetrics() map[string][]string {
	d := &labelRecorder{labels: make(map[string][]string)}
	NewConfigGauges(d)
	NewMemberMeter(d)
	NewSpreadMeter(d)
	NewCallMeter(d)
	NewPeerMeter(d)
	NewAppendMeter(d)
	NewStoreMeter(d)
	d.MustRegister(NewBoardCollector(&blackboard.Board{}),
		NewGateCollector(func() gate.Load { return gate.Load{} }),
		NewQuotaCollector(func() quota.Stats { return quota.Stats{} }),
		NewQuarantineCollector(func() quarantine.Stats { return quarantine.Stats{} }),
		NewZoneCollector(func() capacity.Stats { return capacity.Stats{} }),
		NewSpeedCollector(func(int) []balance.SpeedFactor { return nil }))
	return d.labels
}

// pages returns the text of each operators' page by its path below docs.
func pages(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(docs + "operations/*.md")
	must.NoError(t, err)
	paths = append(paths, docs+"OPERATIONS.md", docs+"monitoring/alerts.yaml", docs+"monitoring/dashboard.json")
	texts := make(map[string]string)
	for _, p := range paths {
		raw, err := os.ReadFile(p)
		must.NoError(t, err)
		texts[strings.TrimPrefix(p, docs)] = string(raw)
	}
	return texts
}

// An alert on a metric or label that was renamed never fires, which nobody notices. Every metric
// and label in the operators' pages must therefore be registered.
func TestDocs_MetricsAreRegistered(t *testing.T) {
	known := registeredMetrics()
	for page, text := range pages(t) {
		text = strings.ReplaceAll(text, `\"`, `"`)
		for _, name := range metricName.FindAllString(text, -1) {
			must.MapContainsKey(t, known, name, must.Sprint(page))
		}
		for _, s := range selector.FindAllStringSubmatch(text, -1) {
			for _, l := range labelMatch.FindAllStringSubmatch(s[2], -1) {
				if l[1] == "job" {
					continue
				}
				must.SliceContains(t, known[s[1]], l[1], must.Sprint(page, s[0]))
				checkKindValues(t, l[1], l[2])
			}
		}
	}
}

// checkKindValues checks that the values in a selector of the kind label are kinds of errors. Kinds
// of messages between daemons, which begin with KIND_, are not checked.
func checkKindValues(t *testing.T, label, values string) {
	if label != "kind" || strings.HasPrefix(values, "KIND_") {
		return
	}
	for v := range strings.SplitSeq(values, "|") {
		must.True(t, v == kindOK || errkind.Kind(v).Known(), must.Sprint(v))
	}
}

// Every metric is described in OPERATIONS.md, where the operator on call looks it up.
func TestDocs_MetricsAreDocumented(t *testing.T) {
	text := pages(t)["OPERATIONS.md"]
	for name := range registeredMetrics() {
		if !strings.HasSuffix(name, "_bucket") {
			must.StrContains(t, text, "`"+name+"`")
		}
	}
}

// Every log message that the operators' pages quote is in the code, as one string literal or as two
// that are concatenated.
func TestDocs_LogLinesExist(t *testing.T) {
	literals := stringLiterals(t)
	for page, text := range pages(t) {
		text = strings.ReplaceAll(text, "\n", " ")
		for _, m := range logMessage.FindAllStringSubmatch(text, -1) {
			must.True(t, isLogMessage(literals, m[1]), must.Sprint(page, m[1]))
		}
	}
}

// isLogMessage reports whether line is a literal or the concatenation of two literals.
func isLogMessage(literals map[string]bool, line string) bool {
	if literals[line] {
		return true
	}
	for i := range line {
		if literals[line[:i]] && literals[line[i:]] {
			return true
		}
	}
	return false
}

// stringLiterals returns all string literals in the project's Go code except in tests.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	literals := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
				if s, err := strconv.Unquote(l.Value); err == nil {
					literals[s] = true
				}
			}
			return true
		})
		return nil
	})
	must.NoError(t, err)
	return literals
}

// The table of error kinds in OPERATIONS.md has one row per kind, with its status code and whether
// the call ran.
func TestDocs_ErrorKindsMatchCode(t *testing.T) {
	rows := make(map[errkind.Kind][]string)
	for _, m := range kindRow.FindAllStringSubmatch(pages(t)["OPERATIONS.md"], -1) {
		rows[errkind.Kind(m[1])] = m[2:]
	}
	must.MapLen(t, len(errkind.Kinds()), rows)
	for _, k := range errkind.Kinds() {
		a := k.Response()
		must.Eq(t, []string{strconv.Itoa(a.Status), string(a.Run)}, rows[k], must.Sprint(k))
	}
}

// OPERATIONS.md links to every page below operations, and every link between the pages leads to an
// existing page. The dashboard is valid JSON.
func TestDocs_Links(t *testing.T) {
	texts := pages(t)
	var exist, linked []string
	for page, text := range texts {
		if name, ok := strings.CutPrefix(page, "operations/"); ok {
			exist = append(exist, name)
		}
		for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
			must.MapContainsKey(t, texts, "operations/"+m[1], must.Sprint(page))
			if page == "OPERATIONS.md" {
				linked = append(linked, m[1])
			}
		}
	}
	slices.Sort(linked)
	must.SliceContainsAll(t, slices.Compact(linked), exist)
	must.True(t, json.Valid([]byte(texts["monitoring/dashboard.json"])))
}
