package jobs

import (
	"encoding/json"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// Document describes a job in status answers. Waiting and Running count the tasks
// that have not ended; Why explains the wait.
type Document struct {
	Count    int             `json:"count"`
	Done     int             `json:"done"`
	Failed   int             `json:"failed"`
	Running  int             `json:"running"`
	Waiting  int             `json:"waiting"`
	Canceled bool            `json:"canceled,omitempty"`
	Why      json.RawMessage `json:"why,omitempty"`
}

// Status returns the state of a job, with an explanation of the wait if why is set.
// It returns false when the job is unknown.
func (s *Service) Status(team model.TeamID, id model.JobID, why bool) (model.Answer, bool) {
	k := key{team, id}
	j, ok := s.jobs[k]
	if !ok {
		return model.Answer{}, false
	}
	a := s.statusAnswer(k, j)
	if why {
		a.Body = encodeDocument(s.document(j, true))
	}
	return a, true
}

func (s *Service) statusAnswer(k key, j *job) model.Answer {
	a := model.Answer{ID: string(k.id), Verdict: verdict.Pending, Body: encodeDocument(s.document(j, false))}
	switch {
	case j.endedAt == 0:
	case j.canceled:
		a.Verdict, a.Code = verdict.MayHaveRun, verdict.CodeCanceled
	case j.failed > 0:
		a.Verdict, a.Code = verdict.Done, verdict.CodeTaskFailed
	default:
		a.Verdict = verdict.Done
	}
	return a
}

func (s *Service) document(j *job, why bool) Document {
	var ids []model.TaskID
	for i := range j.spec.Count {
		if _, ended := j.ended[i]; !ended {
			ids = append(ids, taskOf(j.spec, i))
		}
	}
	d := Document{Count: j.spec.Count, Done: len(j.ended) - j.failed, Failed: j.failed, Canceled: j.canceled}
	d.Waiting, d.Running = s.tasks.Phases(ids)
	if why {
		d.Why = s.tasks.ExplainWait(ids)
	}
	return d
}

func encodeDocument(d Document) []byte {
	body, err := json.Marshal(d)
	if err != nil {
		return nil
	}
	return body
}
