package scheduler_test

import (
	"fmt"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler"
	"pollenbend/internal/scheduler/queue"
)

func Example() {
	const now = 5 * time.Second // since the instance started
	s := scheduler.New(scheduler.Config{Seed: 1})
	q := queue.New(queue.Config{})
	s.Fleet.Upsert(model.Worker{ID: "w1", Capacity: model.Resources{MilliCPU: 4000}})
	q.SetCapacity(s.Fleet.Capacity())
	q.SetWeight("aftercare", 3)

	for _, id := range []model.TaskID{"t1", "t2"} {
		task := &model.Task{ID: id, Team: "aftercare", Demand: model.Resources{MilliCPU: 3000}}
		if status := s.Feasible(task); !status.Success() {
			fmt.Println("refuse:", status)
			continue
		}
		if err := q.Push(task); err != nil {
			fmt.Println("refuse:", err)
		}
	}
	for task := q.Pop(); task != nil; task = q.Pop() {
		decision, status := s.Place(now, task)
		if !status.Success() || s.Fleet.Assume(now, task, decision.Worker) != nil {
			fmt.Println(task.ID, status)
			q.Defer(task)
			continue
		}
		q.Started(task)
		fmt.Println(task.ID, "on", decision.Worker)
	}

	_ = s.Fleet.Confirm(now, "t1") // the worker runs it
	ended := s.Fleet.Release("t1") // the worker has confirmed its end
	q.Ended(ended.Task)
	q.Wake(ended.Node.Free())
	fmt.Println("next:", q.Pop().ID)
	// Output:
	// t1 on w1
	// t2 resources: no matching worker has room
	// next: t2
}
