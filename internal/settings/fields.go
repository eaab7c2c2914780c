package settings

import "time"

// Fields is the one place where meaning, unit, default and bounds of each field
// are kept, in the order in which they are printed.
var Fields = []Field{
	name("host", "sign-feed-01",
		"Name of this host, unique in the fleet. A replacement under the same address keeps it."),
	name("availability_zone", "boston",
		"Availability zone of this host."),
	name("region", "new-england",
		"Region of the availability zone. Configuration and probes cross regions sparingly."),

	address("listen.callers", "10.1.2.3:8080",
		"HTTP for callers."),
	address("listen.peers", "10.1.2.3:7400",
		"TCP and UDP for the other daemons, which are told this address."),
	address("listen.advertise_peers", "10.9.2.3:7400",
		"What the other daemons are told in place of listen.peers, where they reach this host by a translated address.").optional(),
	address("listen.operators", "10.1.2.3:7401",
		"HTTP for operators: status, drain, metrics."),
	address("listen.backend", "127.0.0.1:7402",
		"HTTP where the backend server beside the daemon announces itself."),

	addresses("contacts", []string{"10.1.2.4:7400", "10.1.3.4:7400"},
		"Peer addresses of a few daemons to join by, best in several availability zones."),

	httpURL("platform.url", "http://10.1.0.1:7300",
		"Base URL of the platform's log service.").required(),
	duration("platform.append_timeout", 2*time.Second, 10*time.Millisecond, time.Minute,
		"Bounds one append; after it the outcome is unknown."),
	duration("platform.read_wait", 10*time.Second, 100*time.Millisecond, time.Minute,
		"How long a read waits for new records."),
	duration("platform.retention", 24*time.Hour, time.Minute, 365*24*time.Hour,
		"How long the platform keeps a record, at least. Checkpoints are written well within it."),

	duration("membership.probe_interval", time.Second, 50*time.Millisecond, 10*time.Second,
		"Time between two probes of other daemons."),
	duration("membership.probe_timeout", 300*time.Millisecond, 10*time.Millisecond, 5*time.Second,
		"How long a probe waits for its answer; below probe_interval."),
	duration("membership.suspicion_timeout", 4*time.Second, 100*time.Millisecond, time.Minute,
		"How long a silent daemon may refute before it is declared dead; at least probe_interval."),

	integer("spread.readers_per_zone", 2, 1, 16, "daemons",
		"Daemons of each availability zone that read the log. More converge more surely and cost reads at the source."),
	integer("spread.fan_out", 6, 1, 64, "daemons",
		"How many daemons each one passes new records to."),
	choice("spread.mode", []string{"tree", "direct", "gossip"},
		"How records reach the daemons: pushed along trees by a few readers, read by each daemon, or pulled after digests."),
	choice("spread.redundancy", []string{"digest", "none", "eager"},
		"What a zone's second reader sends once the first one's push has come: its offset, nothing, or the records anew."),
	duration("spread.own_read_after", 5*time.Second, time.Second, time.Hour,
		"How long a daemon hears nothing before it reads the log itself."),

	integer("requests.max_header_bytes", 64<<10, 1<<10, 1<<20, "bytes",
		"Largest header of a call."),
	integer("requests.max_body_bytes", 1<<30, 1<<10, 1<<40, "bytes",
		"Largest body of a call."),
	duration("requests.header_timeout", 10*time.Second, 100*time.Millisecond, time.Minute,
		"How long a caller may take to send the header."),
	integer("requests.max_in_flight", 4096, 1, 1<<20, "calls",
		"Calls that this daemon holds at once."),
	duration("requests.zone_cost", time.Millisecond, 0, time.Second,
		"Time that a call loses by leaving the availability zone, there and back; a farther backend server is chosen only if it saves more."),
	choice("requests.own_keys", []string{"off", "on"},
		"Whether idempotency keys of callers' own making are taken, at the price of an append to the platform's log."),

	duration("drain.timeout", 30*time.Second, 100*time.Millisecond, time.Hour,
		"How long calls in flight may take to end in a graceful shutdown."),

	choice("log.level", []string{"info", "debug", "warn", "error"},
		"Lowest level of the daemon's log lines."),
	choice("log.format", []string{"text", "json"},
		"Form of the daemon's log lines."),

	choice("trace.exporter", []string{"none", "stdout", "otlp"},
		"Where spans go."),
	httpURL("trace.endpoint", "http://10.1.0.2:4318",
		"OTLP collector (HTTP); required by the otlp exporter."),
	ratio("trace.ratio", 0.01,
		"Share of calls traced where the caller did not decide."),
}
