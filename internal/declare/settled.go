package declare

// maxSettled is the number of settled changes that are remembered, the newest
// ones. An accepted change that is forgotten still has no effect when repeated,
// since the objects it touched are newer than its base.
const maxSettled = 4096

// settledChanges remembers the results of the last changes by id.
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

// add remembers the result of a change. Changes without a usable id are not
// remembered.
func (c *settledChanges) add(id string, r Result) {
	if id == "" || len(id) > maxChangeID {
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
