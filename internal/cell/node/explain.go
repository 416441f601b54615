package node

import (
	"context"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
)

// ExplainArgs are the arguments of Explain: a job that is not submitted, or the id of a known one.
type ExplainArgs struct {
	Spec *job.Spec
	ID   string
}

func (a *ExplainArgs) event(answer func(engine.Answer)) any {
	return &engine.Explain{Spec: a.Spec, ID: a.ID, Reply: answer}
}

func runtimesEvent(answer func(engine.Answer)) any { return &engine.Runtimes{Reply: answer} }

// Explain explains a job, if this instance leads.
func (s *Service) Explain(args *ExplainArgs, reply *Reply) error {
	return s.answerLocally(reply, args.event)
}

// Runtimes returns what has been learned of run times, if this instance leads.
func (s *Service) Runtimes(_ *struct{}, reply *Reply) error {
	return s.answerLocally(reply, runtimesEvent)
}

// Explain asks the leader what would become of a job now, of spec if it is not nil, else of the
// known job with the id. It submits nothing. An error is a *verdict.Error.
func (n *Node) Explain(ctx context.Context, spec *job.Spec, id string) (engine.Answer, error) {
	args := &ExplainArgs{Spec: spec, ID: id}
	return n.request(ctx, "Explain", args, args.event)
}

// Runtimes asks the leader what it has learned of run times. An error is a *verdict.Error.
func (n *Node) Runtimes(ctx context.Context) (engine.Answer, error) {
	return n.request(ctx, "Runtimes", &struct{}{}, runtimesEvent)
}
