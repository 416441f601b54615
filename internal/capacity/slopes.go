package capacity

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Slopes holds all measurements. The keys are the names of the metrics that the
// benchmarks report. Line.Unit is the unit of the values: nanoseconds of processor
// time, or bytes of memory or on the wire.
type Slopes struct {
	Command   string         `toml:"command"` // command that measured the lines
	Machine   string         `toml:"machine"`
	Transport TransportCosts `toml:"transport"`
	Lines     Lines          `toml:"lines"`
}

// TransportCosts holds the results of the benchmarks of internal/transport.
type TransportCosts struct {
	Command         string  `toml:"command"`
	SendNS          float64 `toml:"send_ns"`           // one payload, both ends together
	PingBytes       float64 `toml:"ping_bytes"`        // a ping, its pong and their acknowledgment, excluding IP and UDP headers
	PingDatagrams   float64 `toml:"ping_datagrams"`    // datagrams of a ping, its pong and their acknowledgment
	ConnectionBytes float64 `toml:"connection_memory"` // one connection, both ends together
}

// Lines holds the measured lines. In their names, Take stands for the handling of a
// received message, reply or record, and By for what the size counts.
type Lines struct {
	HeartbeatBytesByTeam    Line `toml:"heartbeat_bytes_by_team"`
	HeartbeatBytesByMember  Line `toml:"heartbeat_bytes_by_member"`
	HeartbeatEncodeByTeam   Line `toml:"heartbeat_encode_ns_by_team"`
	HeartbeatEncodeByMember Line `toml:"heartbeat_encode_ns_by_member"`
	HeartbeatTakeByTeam     Line `toml:"heartbeat_take_ns_by_team"`
	HeartbeatTakeByMember   Line `toml:"heartbeat_take_ns_by_member"`
	HeartbeatFillByLine     Line `toml:"heartbeat_fill_ns_by_team_line"`
	MemberMemoryByTeam      Line `toml:"member_memory_by_team"`
	TickByInstance          Line `toml:"tick_ns_by_instance"`

	TickByWorker      Line `toml:"tick_ns_by_held_worker"`
	TickByFinished    Line `toml:"tick_ns_by_finished_task"`
	RenewalBytes      Line `toml:"renewal_bytes_by_outcome"`
	RenewalTake       Line `toml:"renewal_take_ns_by_outcome"`
	ExchangeNS        Line `toml:"exchange_ns_by_outcome"`
	StartBytes        Line `toml:"start_bytes_by_payload_byte"`
	HeldWorkerMemory  Line `toml:"held_worker_memory"`
	ConnectionMemory  Line `toml:"worker_connection_memory"`
	RunningTaskMemory Line `toml:"running_task_memory"`

	CallerBytes           Line `toml:"caller_bytes_by_payload_byte"`
	CallerNS              Line `toml:"caller_ns_by_payload_byte"`
	CallerMemory          Line `toml:"caller_memory"`
	TickByOpen            Line `toml:"tick_ns_by_open_request"`
	CallByRemembered      Line `toml:"call_ns_by_remembered_request"`
	CallByWorker          Line `toml:"call_ns_by_held_worker"`
	FinishedRequestMemory Line `toml:"finished_request_memory"`
	WaitingRequestMemory  Line `toml:"waiting_request_memory"`
	CallPeerBytes         Line `toml:"call_peer_bytes_by_payload_byte"`
	CallPeerNS            Line `toml:"call_peer_ns_by_payload_byte"`
	TickByWaiting         Line `toml:"tick_ns_by_waiting_request"`

	PlanByWorker   Line `toml:"plan_ns_by_listed_worker"`
	PlanByInstance Line `toml:"plan_ns_by_instance"`
	PlanByTeam     Line `toml:"plan_scan_ns_by_team"` // of an instance that plans for no team
	GrantBytes     Line `toml:"grant_bytes_by_team_name_byte"`

	ClaimBytes         Line `toml:"claim_bytes_by_shard"`
	MoveByTask         Line `toml:"move_ns_by_running_task"`
	ListingBytes       Line `toml:"listing_bytes_by_worker"`
	ListingTake        Line `toml:"listing_take_ns_by_worker"`
	ListedWorkerMemory Line `toml:"listed_worker_memory"`

	TakeoverByTask Line `toml:"takeover_ns_by_running_task"` // of one full report, by the tasks on other workers
	HandoverBytes  Line `toml:"handover_bytes_by_request"`

	TimelineMemory Line `toml:"time_line_memory"`

	ChangeBytes       Line `toml:"change_bytes_by_object"`
	ChangeTake        Line `toml:"change_take_ns_by_team"`
	SnapshotBytes     Line `toml:"snapshot_bytes_by_team"`
	DeclarationMemory Line `toml:"declaration_memory_by_team"`
	LogReadBytes      Line `toml:"log_read_bytes_by_entry_byte"`
	JobEntryBytes     Line `toml:"job_entry_bytes_by_record"`
	ProgressBytes     Line `toml:"progress_bytes_by_task"`
	ProgressTake      Line `toml:"progress_take_ns_by_task"`
	SnapshotEntry     Line `toml:"snapshot_entry_bytes_by_job"`
	JobMemory         Line `toml:"job_memory"`
	JobMemoryByTask   Line `toml:"job_memory_by_ended_task"`
	TickByJob         Line `toml:"tick_ns_by_job"`
}

// Read reads slopes from a TOML file. It returns an error if the file has an unknown
// key or a line with fewer than two sizes or without a value for each size.
func Read(path string) (Slopes, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Slopes{}, errors.Wrap(err, "read slopes")
	}
	return Parse(data)
}

// Parse parses slopes in TOML. It returns the same errors as Read.
func Parse(data []byte) (Slopes, error) {
	var s Slopes
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Slopes{}, errors.Wrap(err, "parse slopes")
	}
	for name, l := range s.Lines.byName() {
		if len(l.Sizes) < 2 || len(l.Sizes) != len(l.Values) {
			return Slopes{}, errors.Newf("slope %s: expected two sizes or more, each with a value", name)
		}
	}
	return s, nil
}

// Marshal returns the slopes in the TOML format that Parse reads.
func (s Slopes) Marshal() ([]byte, error) {
	data, err := toml.Marshal(s)
	return data, errors.Wrap(err, "write slopes")
}
