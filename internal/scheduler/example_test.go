package scheduler_test

import (
	"fmt"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler"
)

func Example() {
	s := scheduler.New(scheduler.Config{Seed: 1})
	s.Fleet.Upsert(model.Worker{ID: "w1", Capacity: model.Resources{MilliCPU: 4000}})

	task := &model.Task{ID: "t1", Team: "aftercare", Demand: model.Resources{MilliCPU: 3000}}
	if status := s.Feasible(task); !status.Success() {
		fmt.Println("refuse:", status)
	}
	decision, status := s.Place(0, task)
	fmt.Println(decision.Worker, status)
	fmt.Println("committed:", s.Fleet.Assume(0, task, decision.Worker) == nil)

	_, status = s.Place(0, &model.Task{ID: "t2", Demand: model.Resources{MilliCPU: 3000}})
	fmt.Println(status)
	s.Fleet.Release("t1")
	// Output:
	// w1 ok
	// committed: true
	// resources: no matching worker has room
}
