package declare

// maxSettled is the maximum number of settled changes whose results are stored.
// The oldest results are dropped first. An accepted change without a stored result
// still has no effect when it is repeated, since the versions of the objects that
// it touched are newer than its base.
const maxSettled = 4096

// settledChanges stores the results of the newest settled changes by id. A change
// is settled once its outcome is decided.
type settledChanges struct {
	results map[string]Result
	order   []string // oldest first
}

func newSettledChanges() settledChanges {
	return settledChanges{results: map[string]Result{}}
}

func (c *settledChanges) get(id string) (Result, bool) {
	r, ok := c.results[id]
	return r, ok
}

// add stores the result of a change. Results of changes with an empty or too long
// id are not stored.
func (c *settledChanges) add(id string, r Result) {
	if id == "" || len(id) > maxChangeIDBytes {
		return
	}
	r.Withdrawn = nil
	c.results[id] = r
	c.order = append(c.order, id)
	if len(c.order) > maxSettled {
		delete(c.results, c.order[0])
		c.order = c.order[1:]
	}
}
