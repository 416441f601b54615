package runtimes

const (
	// maxMates is the number of ended tasks that are kept of a step. Of a step with more
	// tasks every second one is kept, or every fourth, and so on.
	maxMates = 32
	// maxDeviation bounds the deviation of a task from the location of its step, in
	// standard deviations, as long as the location is computed.
	maxDeviation = 2
	// locationPasses is the number of passes in which the location is computed from the
	// one that was found last.
	locationPasses = 2
)

// stepSamples holds ended tasks of a step.
type stepSamples struct {
	mates  []mate
	ended  int // number of ended tasks
	stride int // one in stride of them is kept; zero counts as 1
	center float64
}

// mate is an ended task of a step.
type mate struct {
	log    float64 // logarithm of the run time relative to the estimate
	worker *workerSpeed
}

// add adds an ended task. noise is the variance among the tasks of a step.
func (s *stepSamples) add(log float64, w *workerSpeed, noise float64) {
	s.ended++
	if s.stride > 1 && s.ended%s.stride != 0 {
		return
	}
	if len(s.mates) == maxMates {
		for i := range maxMates / 2 {
			s.mates[i] = s.mates[2*i+1]
		}
		s.mates, s.stride = s.mates[:maxMates/2], 2*max(1, s.stride)
	}
	if s.mates = append(s.mates, mate{log, w}); len(s.mates) == 1 {
		s.center = log - w.log
	}
	s.center += bounded(log-w.log-s.center, maxDeviation*sqrt(noise)) / float64(len(s.mates))
}

// locate returns the center of the logarithms of the run times of the ended tasks
// relative to the estimate, on workers of ordinary speed by what is known of them now.
// noise is the variance among the tasks of a step. Long runs of the tail count little.
func (s *stepSamples) locate(noise float64) float64 {
	limit := maxDeviation * sqrt(noise)
	for range locationPasses {
		sum := 0.0
		for i := range s.mates {
			sum += bounded(s.mates[i].log-s.mates[i].worker.log-s.center, limit)
		}
		s.center += sum / float64(len(s.mates))
	}
	return s.center
}

// observeSpeed adds a run of a task of the step on w. log is the logarithm of its run time
// relative to the estimate, center that of the ended tasks, and noise the variance among
// the tasks of a step. A run that is longer than those of its mates tells that w is slower
// or that their workers are faster, in proportion to what is uncertain of each. As each
// pair of tasks is compared once, it does not matter that short runs end first. It returns
// the sum of the changes of the speeds.
func (s *stepSamples) observeSpeed(w *workerSpeed, log, center, noise float64) float64 {
	n := float64(len(s.mates))
	uncertain := 0.0
	for i := range s.mates {
		uncertain += s.mates[i].worker.variance
	}
	w.runs++
	before := w.log
	residual := w.correct(log-center-w.log, noise+(noise+uncertain/n)/n)
	change := w.log - before
	for i := range s.mates {
		other := s.mates[i].worker
		if other == w {
			continue
		}
		// The center moves by residual/n, and with it what the mate's own run tells.
		gain := other.variance / (other.variance + noise) / n
		other.move(-gain * residual)
		other.variance -= gain * other.variance / n
		change -= gain * residual
	}
	return change
}
