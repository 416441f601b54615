package fleet

// journalEntry is an allocation that was made since Begin.
type journalEntry struct {
	allocation *Allocation
}

// Begin starts a plan: Rollback undoes, and Keep retains, every Assume and Adopt
// that follows. Plans don't nest.
func (f *Fleet) Begin() {
	f.planning = true
	f.journal = f.journal[:0]
}

// Rollback ends the plan and releases what was committed since Begin.
func (f *Fleet) Rollback() {
	f.planning = false
	for i := len(f.journal) - 1; i >= 0; i-- {
		a := f.journal[i].allocation
		if f.tasks[a.Task.ID] == a {
			f.release(a)
		}
	}
	clear(f.journal)
	f.journal = f.journal[:0]
}

// Keep ends the plan and retains what was committed since Begin.
func (f *Fleet) Keep() {
	f.planning = false
	clear(f.journal)
	f.journal = f.journal[:0]
}

// journalAllocation records an allocation for Rollback while a plan is open.
func (f *Fleet) journalAllocation(a *Allocation) {
	if f.planning {
		f.journal = append(f.journal, journalEntry{a})
	}
}
