// Command fleet measures how configuration spreads over real daemon processes
// on loopback: the time until a revision is in force everywhere, in calm or with
// a fault, and what distribution costs each daemon and the platform's log.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// options of one measurement.
type options struct {
	Daemons     int           `json:"daemons"`
	Zones       int           `json:"zones"`
	Mode        string        `json:"mode"`
	Redundancy  string        `json:"redundancy"`
	Readers     int           `json:"readers_per_zone"`
	FanOut      int           `json:"fan_out"`
	Fault       string        `json:"fault"`
	Revisions   int           `json:"revisions"`
	RecordBytes int           `json:"record_bytes"`
	Idle        time.Duration `json:"idle_ns"`
	printJSON   bool
}

// The faults that a revision can meet.
const (
	faultNone     = "none"
	faultKill     = "kill"
	faultPause    = "pause"
	faultPlatform = "platform"
)

func main() {
	var o options
	app := kingpin.New("fleet", "Measure how configuration spreads over real daemons.")
	app.Flag("daemons", "Number of daemons.").Short('n').Default("100").IntVar(&o.Daemons)
	app.Flag("zones", "Number of availability zones.").Default("4").IntVar(&o.Zones)
	app.Flag("mode", "How records travel.").Default("tree").EnumVar(&o.Mode, "tree", "direct", "gossip")
	app.Flag("redundancy", "What a zone's second reader sends.").Default("digest").EnumVar(&o.Redundancy, "digest", "none", "eager")
	app.Flag("readers", "Readers of each availability zone.").Default("2").IntVar(&o.Readers)
	app.Flag("fan-out", "Daemons that each one passes records to.").Default("6").IntVar(&o.FanOut)
	app.Flag("fault", "What meets each revision just after its append: none, kill or pause (a tenth of the daemons), platform (down).").
		Default(faultNone).EnumVar(&o.Fault, faultNone, faultKill, faultPause, faultPlatform)
	app.Flag("revisions", "Revisions to publish, one at a time.").Default("10").IntVar(&o.Revisions)
	app.Flag("record-bytes", "Size of a revision's record, about.").Default("300").IntVar(&o.RecordBytes)
	app.Flag("idle", "How long to watch the cost without revisions.").Default("10s").DurationVar(&o.Idle)
	app.Flag("json", "Print JSON instead of a table.").BoolVar(&o.printJSON)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := measure(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "fleet: failed:", err)
		os.Exit(1)
	}
}

// measure runs one measurement and prints it. All processes have ended when it
// returns.
func measure(ctx context.Context, o options, out io.Writer) error {
	f, err := startFleet(ctx, o)
	if err != nil {
		return err
	}
	defer f.close()
	r := &report{Options: o}
	if err := f.run(ctx, r); err != nil {
		return err
	}
	if o.printJSON {
		return json.NewEncoder(out).Encode(r)
	}
	return r.print(out)
}

// report is what one measurement found.
type report struct {
	Options options `json:"options"`
	// JoinTime is how long all daemons took to know each other.
	JoinTime time.Duration `json:"join_ns"`
	// Converged holds quantiles over daemons and revisions of the time from
	// the acknowledged append to in force.
	Converged quantiles `json:"converged_ns"`
	// Missing counts daemons that a revision never reached within the limit.
	Missing int `json:"missing"`
	// Idle is the cost of a second without revisions, Change that of one
	// revision beyond it; without meaning under a fault, which has costs of its
	// own.
	Idle   cost `json:"idle_per_second"`
	Change cost `json:"per_change"`
	// MaxIdleBytes is the busiest daemon's Idle bytes, sent and received.
	MaxIdleBytes float64 `json:"max_idle_bytes_per_second"`
	// CPU is the share of a core that a daemon takes when idle.
	CPU            quantiles `json:"cpu_percent"`
	ResidentMemory quantiles `json:"resident_bytes"`
}

// cost is per daemon, but for the source's, which is the log's whole.
type cost struct {
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	MemberBytes   float64 `json:"member_sent_bytes"`
	SourceReads   float64 `json:"source_reads"`
	SourceBytes   float64 `json:"source_wire_bytes"`
}

func (c cost) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%.0f B\t%.0f B\t%.0f B\t%.2f\t%.0f B\n",
		name, c.SentBytes, c.ReceivedBytes, c.MemberBytes, c.SourceReads, c.SourceBytes)
}

// quantiles of a set of values.
type quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func (r *report) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	o := r.Options
	fmt.Fprintf(w, "%d daemons, %d zones, mode %s, redundancy %s, %d readers per zone, fan-out %d, fault %s, %d revisions of %d bytes\n",
		o.Daemons, o.Zones, o.Mode, o.Redundancy, o.Readers, o.FanOut, o.Fault, o.Revisions, o.RecordBytes)
	fmt.Fprintf(w, "joined after\t%v\n", r.JoinTime.Round(time.Millisecond))
	c := r.Converged
	fmt.Fprintf(w, "in force, 50 / 99 / 100 in 100\t%.0f ms\t%.0f ms\t%.0f ms\tmissing %d\n", c.P50, c.P99, c.Max, r.Missing)
	fmt.Fprintln(w, "\tsent\treceived\tof it membership\treads at source\twire bytes at source")
	r.Idle.print(w, "idle, for each second")
	if o.Fault == faultNone {
		r.Change.print(w, "for each change")
	}
	fmt.Fprintf(w, "busiest daemon, idle\t%.0f B/s\n", r.MaxIdleBytes)
	fmt.Fprintf(w, "processor, idle, 50 / 100 in 100\t%.2f %%\t%.2f %%\tof a core\n", r.CPU.P50, r.CPU.Max)
	fmt.Fprintf(w, "resident memory, 50 / 100 in 100\t%.1f MB\t%.1f MB\n", r.ResidentMemory.P50/1e6, r.ResidentMemory.Max/1e6)
	return w.Flush()
}
