package cli

import (
	"fmt"
	"io"
	"strings"

	"pollenbend/internal/cell/engine"
)

// printExplanation prints x for a person.
func printExplanation(out io.Writer, x *engine.Explanation) {
	subject := "the job"
	if x.Job != "" {
		subject = "job " + x.Job
	}
	fmt.Fprintf(out, "%s, queue %s, team %s: %s", subject, x.Queue, orNone(x.Team), x.Verdict)
	if x.Reason != "" {
		fmt.Fprintf(out, ": %s", x.Reason)
	}
	if x.RetryAfterMS > 0 {
		fmt.Fprintf(out, "; come back after %s", milliseconds(x.RetryAfterMS))
	}
	fmt.Fprintln(out)
	if x.Service == "" {
		return
	}
	if x.Job == "" {
		fmt.Fprintf(out, "  admission expects a wait of %s", milliseconds(x.WaitMS))
		printWait(out, x)
	}
	fmt.Fprintf(out, "  critical path %s, objective %s", milliseconds(x.CriticalPathMS), milliseconds(x.ObjectiveMS))
	if x.BeyondAllowance {
		fmt.Fprint(out, "; beyond the allowance of its team, so placed after all others")
	}
	fmt.Fprintln(out)
	for i := range x.Steps {
		printStep(out, x, &x.Steps[i])
	}
}

// printWait prints what the wait of a new job consists of, up to the end of the line.
func printWait(out io.Writer, x *engine.Explanation) {
	p := x.Wait
	if p == nil {
		fmt.Fprintln(out)
		return
	}
	fmt.Fprintf(out, " and accepts up to %s\n", milliseconds(p.BearableMS))
	if p.DecidedBy != "" {
		fmt.Fprintf(out, "    decided by: %s; work ahead %s (%.1f cores, %.1f core-seconds), recent waits %s, limit of the team %s, adviser %s\n",
			p.DecidedBy, milliseconds(p.WorkMS), p.AheadCores, p.AheadWork, milliseconds(p.RecentMS), milliseconds(p.LimitMS), milliseconds(p.AdviserMS))
	}
	if p.SurplusMS > 0 {
		fmt.Fprintf(out, "    behind other work beyond the allowances: %s\n", milliseconds(p.SurplusMS))
	}
}

func printStep(out io.Writer, x *engine.Explanation, s *engine.StepExplanation) {
	kind := "tasks"
	if s.Gang {
		kind = "tasks of a gang"
	}
	fmt.Fprintf(out, "step %d: %d %s, %d waiting; run time median %s, 0.9 quantile %s, %d samples\n",
		s.Step, s.Tasks, kind, s.Waiting, milliseconds(s.MedianMS), milliseconds(s.P90MS), s.Samples)
	if s.Place > 0 {
		fmt.Fprintf(out, "  order: %d of %d open steps of service %s, %d tasks before it, %s\n", s.Place, s.OpenSteps, x.Service, s.TasksBefore, s.Timeliness)
	}
	if s.Waiting > 0 {
		fmt.Fprintf(out, "  workers: %d of %d left", s.Left, x.WorkersOfService)
		for _, e := range s.Excluded {
			fmt.Fprintf(out, ", %d %s", e.Workers, e.Reason)
		}
		fmt.Fprintln(out)
	}
	if s.LimitAllows < s.Waiting {
		fmt.Fprintf(out, "  limit of the team: %d more tasks\n", s.LimitAllows)
	}
	if s.Placed > 0 {
		fmt.Fprintf(out, "  placed now: %d tasks on %d workers\n", s.Placed, s.ChosenCount)
	}
	for _, w := range s.Chosen {
		fmt.Fprintf(out, "    %s, zone %s: %d tasks, slowness %.2f, free %s cores, %d MB", w.Worker, orNone(w.Zone), w.Tasks, w.Slowness, cores(w.FreeCPU), w.FreeMemMB)
		if w.FreeGPU > 0 {
			fmt.Fprintf(out, ", %d GPU", w.FreeGPU)
		}
		fmt.Fprintln(out)
	}
	printMore(out, s.ChosenCount-len(s.Chosen))
	if s.Calls > 0 {
		fmt.Fprintf(out, "  calls to the adviser now: %d, about %d workers: %s\n", s.Calls, s.AskedCount, strings.Join(s.Asked, " "))
		printMore(out, s.AskedCount-len(s.Asked))
	}
	printReservation(out, s.Reservation)
	if s.WaitsBecause != "" {
		fmt.Fprintf(out, "  %d tasks wait: %s\n", s.Waiting-s.Placed, s.WaitsBecause)
	}
}

// printReservation prints what a step has reserved, if anything.
func printReservation(out io.Writer, r *engine.ReservationExplanation) {
	if r == nil {
		return
	}
	fmt.Fprintf(out, "  reservation: start %s, promised %s", relative(r.StartMS), relative(r.PromisedMS))
	switch {
	case r.Strict:
		fmt.Fprint(out, ", strict: others may not use it")
	case r.Committed:
		fmt.Fprintf(out, ", keeps its workers, strict if later by %s", milliseconds(r.BoundMS))
	default:
		fmt.Fprintf(out, ", strict if later by %s", milliseconds(r.BoundMS))
	}
	fmt.Fprintf(out, "; %d tasks, %s cores on %d workers:", r.Tasks, cores(r.CPU), r.WorkerCount)
	for _, w := range r.Workers {
		fmt.Fprintf(out, " %s (%d)", w.Worker, w.Tasks)
	}
	fmt.Fprintln(out)
	printMore(out, r.WorkerCount-len(r.Workers))
}

// relative formats a time that is given relative to now.
func relative(ms int64) string {
	if ms < 0 {
		return milliseconds(-ms) + " ago"
	}
	return "in " + milliseconds(ms)
}

// printMore prints that n workers are not listed, if there are any.
func printMore(out io.Writer, n int) {
	if n > 0 {
		fmt.Fprintf(out, "    and %d more\n", n)
	}
}

// printRuntimes prints x for a person.
func printRuntimes(out io.Writer, x *engine.RuntimeSummary) {
	fmt.Fprintf(out, "%d queues, %d workers; %.2f of the runs ended within their 0.9 quantile\n", x.QueueCount, x.Workers, x.Calibration)
	for _, q := range x.Queues {
		fmt.Fprintf(out, "queue %s: %d samples, run time by estimate: median %.2f, 0.9 quantile %.2f, within it %.2f\n", q.Queue, q.Samples, q.Median, q.P90, q.Calibration)
	}
	if x.Workers > 0 {
		fmt.Fprintf(out, "slowness of the workers: minimum %.2f, median %.2f, maximum %.2f\n", x.Slowness.Minimum, x.Slowness.Median, x.Slowness.Maximum)
	}
	for _, c := range x.Classes {
		fmt.Fprintf(out, "speed class of service %s: slowness %.2f, %d workers\n", c.Service, c.Slowness, c.Workers)
	}
	if r := x.Reservations; r != nil {
		fmt.Fprintf(out, "reservations: %d steps, %s cores, %d strict; %d slipped since the leader began\n", r.Steps, cores(r.CPU), r.Strict, r.Slipped)
	}
	printSpeeds(out, "slowest", x.Slowest)
	printSpeeds(out, "fastest", x.Fastest)
}

func printSpeeds(out io.Writer, title string, workers []engine.WorkerSpeed) {
	if len(workers) > 0 {
		fmt.Fprintf(out, "%s workers:\n", title)
	}
	for _, w := range workers {
		fmt.Fprintf(out, "  %s: slowness %.2f, %d samples\n", w.Worker, w.Slowness, w.Samples)
	}
}

// milliseconds formats a duration with its unit.
func milliseconds(ms int64) string {
	if ms < 10_000 {
		return fmt.Sprintf("%d ms", ms)
	}
	return fmt.Sprintf("%.1f s", float64(ms)/1000)
}

// cores formats thousandths of a core.
func cores(cpu int64) string { return fmt.Sprintf("%.1f", float64(cpu)/1000) }

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}
