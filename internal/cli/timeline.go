package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/client"
	"pollenbend/internal/model"
	"pollenbend/internal/timeline/merge"
)

const followInterval = time.Second

func timelineCommand() command {
	var r remoteFlags
	follow := false
	sub := subcommand("timeline", "Print the events of all given servers in one order.")
	r.register(sub)
	sub.Bool(&follow, "f", "follow", "go on until interrupted")
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		if follow {
			return followTimeline(ctx, &r, followInterval, out, errOut)
		}
		return runTimeline(ctx, &r, out, errOut)
	}}
}

// source is one server whose timeline is read.
type source struct {
	server      string
	client      *client.Client
	incarnation model.Incarnation
	last        uint64 // sequence number of the last event read
}

// runTimeline prints the events that the servers hold at present.
func runTimeline(ctx context.Context, r *remoteFlags, out, errOut io.Writer) int {
	sources, err := r.sources()
	if err != nil {
		return usageError(errOut, "timeline", err)
	}
	merger := merge.New()
	failed := readAll(ctx, sources, merger, errOut)
	printEvents(out, r.json, merger.Flush())
	return exitOfRead(failed)
}

// followTimeline prints new events until ctx ends. An event is printed after its
// cause.
func followTimeline(ctx context.Context, r *remoteFlags, interval time.Duration, out, errOut io.Writer) int {
	sources, err := r.sources()
	if err != nil {
		return usageError(errOut, "timeline", err)
	}
	merger := merge.New()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		_ = readAll(ctx, sources, merger, errOut) // readAll has printed the errors; the next round retries
		printEvents(out, r.json, merger.Ready())
		select {
		case <-ctx.Done():
			printEvents(out, r.json, merger.Flush())
			return ExitDone
		case <-ticker.C:
		}
	}
}

func (r *remoteFlags) sources() ([]*source, error) {
	servers := r.allServers()
	if len(servers) == 0 {
		_, err := r.client()
		return nil, err
	}
	var sources []*source
	for _, server := range servers {
		c, err := r.newClient(server)
		if err != nil {
			return nil, err
		}
		sources = append(sources, &source{server: server, client: c})
	}
	return sources, nil
}

// readAll adds the new events of every source to the merger. It prints the errors of
// sources that can't be read and returns the first one, except for errors after ctx
// has ended.
func readAll(ctx context.Context, sources []*source, merger *merge.Merger, errOut io.Writer) error {
	var first error
	for _, s := range sources {
		if err := s.read(ctx, merger); err != nil && ctx.Err() == nil {
			fmt.Fprintf(errOut, "timeline: %s: %v\n", s.server, err)
			if first == nil {
				first = err
			}
		}
	}
	return first
}

// read adds the source's new events to the merger.
func (s *source) read(ctx context.Context, merger *merge.Merger) error {
	answer, err := s.client.Timeline(ctx, s.last)
	if err != nil {
		return err
	}
	var d merge.Document
	if err := json.Unmarshal(answer.Body(), &d); err != nil {
		return errors.Wrap(err, "read the time line")
	}
	if s.incarnation != 0 && d.Incarnation != s.incarnation {
		s.incarnation, s.last = d.Incarnation, 0 // the server restarted and numbers its events from 1
		return s.read(ctx, merger)
	}
	s.incarnation = d.Incarnation
	for _, e := range d.Events {
		s.last = max(s.last, e.Seq)
	}
	merger.Add(d)
	return nil
}

func printEvents(out io.Writer, asJSON bool, events []merge.Event) {
	for _, e := range events {
		if asJSON {
			printJSON(out, e)
			continue
		}
		fmt.Fprintln(out, eventLine(e))
	}
}

func eventLine(e merge.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s#%d +%.3fs %s %s", e.Instance, e.Seq, e.At.Seconds(), e.Kind, e.Subject)
	if e.Detail != "" {
		fmt.Fprintf(&b, ": %s", e.Detail)
	}
	if e.Offset > 0 {
		fmt.Fprintf(&b, " (log %d)", e.Offset)
	}
	if e.Cause != nil {
		fmt.Fprintf(&b, " (after %s#%d)", e.Cause.Instance, e.Cause.Seq)
	}
	return b.String()
}
