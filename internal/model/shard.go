package model

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Shards is the number of shards into which workers, requests and teams are
// hashed. Each shard has one owner and a term.
const Shards = 256

// Shard is the number of a shard, from 0 to Shards-1.
type Shard uint16

// ShardOfWorker returns the shard whose owner may lease the worker.
func ShardOfWorker(id WorkerID) Shard { return hashShard("w/" + string(id)) }

// ShardOfTeam returns the shard whose owner is responsible for the team's limit.
func ShardOfTeam(id TeamID) Shard { return hashShard("t/" + string(id)) }

// ShardOfRequest returns the shard whose owner remembers the request. A ticket
// contains its shard; any other id is hashed together with its team.
func ShardOfRequest(team TeamID, id string) Shard {
	if t, ok := parseTicket(id); ok {
		return t.Shard
	}
	return hashShard("r/" + string(team) + "/" + id)
}

func hashShard(s string) Shard { return Shard(xxhash.Sum64String(s) % Shards) }

// Ticket is a request id that the owner of a shard issued. As long as the term of
// the shard is that of the ticket, the owner knows for certain whether it has seen
// the request.
type Ticket struct {
	Shard  Shard
	Term   uint64
	Serial string
}

const ticketPrefix = "tk"

// String returns the text form of the ticket that callers send.
func (t Ticket) String() string {
	return fmt.Sprintf("%s-%d-%d-%s", ticketPrefix, t.Shard, t.Term, t.Serial)
}

// ParseTicket parses the form that String returns. It returns an error for any other
// text.
func ParseTicket(s string) (Ticket, error) {
	t, ok := parseTicket(s)
	if !ok {
		return Ticket{}, errors.Newf("%q is not a ticket", s)
	}
	return t, nil
}

// parseTicket parses a ticket without the cost of allocating an error for other ids.
func parseTicket(s string) (Ticket, bool) {
	rest, ok := strings.CutPrefix(s, ticketPrefix+"-")
	if !ok {
		return Ticket{}, false
	}
	parts := strings.SplitN(rest, "-", 3)
	if len(parts) != 3 || parts[2] == "" {
		return Ticket{}, false
	}
	shard, err := strconv.ParseUint(parts[0], 10, 16)
	if err != nil || shard >= Shards {
		return Ticket{}, false
	}
	term, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Ticket{}, false
	}
	return Ticket{Shard: Shard(shard), Term: term, Serial: parts[2]}, true
}

// TaskIDOf returns the id of task index of the request or job id of team.
func TaskIDOf(team TeamID, id string, index int) TaskID {
	return TaskID(string(team) + "/" + id + "/" + strconv.Itoa(index))
}

// runSeparator separates a task id from its run number.
const runSeparator = "~"

// WithRun returns the id under which run number run of the task is started. Run 1
// has the plain id; a later run starts only after the previous one is known to have
// ended.
func WithRun(id TaskID, run int) TaskID {
	if run <= 1 {
		return id
	}
	return id + TaskID(runSeparator+strconv.Itoa(run))
}

// BaseTask returns id without its run number.
func BaseTask(id TaskID) TaskID {
	s := string(id)
	separator := strings.LastIndex(s, runSeparator)
	if separator < 0 || strings.IndexByte(s[separator:], '/') >= 0 {
		return id
	}
	return TaskID(s[:separator])
}

// RunOf returns the run number of a task id, 1 when the id has none.
func RunOf(id TaskID) int {
	base := BaseTask(id)
	if base == id {
		return 1
	}
	run, err := strconv.Atoi(string(id[len(base)+len(runSeparator):]))
	if err != nil {
		return 1
	}
	return run
}

// RequestOfTask splits a task id into the parts that TaskIDOf joined, without the
// run number. It returns an error when id has another form.
func RequestOfTask(id TaskID) (team TeamID, request string, index int, err error) {
	s := string(BaseTask(id))
	first, last := strings.IndexByte(s, '/'), strings.LastIndexByte(s, '/')
	if first <= 0 || last <= first+1 {
		return "", "", 0, errors.Newf("%q is not a task id", s)
	}
	index, err = strconv.Atoi(s[last+1:])
	if err != nil {
		return "", "", 0, errors.Wrapf(err, "task id %q", s)
	}
	return TeamID(s[:first]), s[first+1 : last], index, nil
}

// ShardOfTask returns the shard of the request or job that the task belongs to. An
// id of another form is hashed as a whole.
func ShardOfTask(id TaskID) Shard {
	team, request, _, err := RequestOfTask(id)
	if err != nil {
		return hashShard(string(id))
	}
	return ShardOfRequest(team, request)
}
