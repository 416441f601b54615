package fleet

// journalEntry is an allocation that was made since Begin.
type journalEntry struct {
	allocation *Allocation
}

// Begin starts a plan: everything assumed from here on is undone by Rollback and
// kept by Keep. Plans don't nest.
func (f *Fleet) Begin() {
	f.inTx = true
	f.journal = f.journal[:0]
}

// Rollback undoes what was assumed since Begin.
func (f *Fleet) Rollback() {
	f.inTx = false
	for i := len(f.journal) - 1; i >= 0; i-- {
		a := f.journal[i].allocation
		if f.tasks[a.Task.ID] == a {
			f.release(a)
		}
	}
	clear(f.journal)
	f.journal = f.journal[:0]
}

// Keep ends the plan and leaves what was assumed in the ledger.
func (f *Fleet) Keep() {
	f.inTx = false
	clear(f.journal)
	f.journal = f.journal[:0]
}

func (f *Fleet) record(a *Allocation) {
	if f.inTx {
		f.journal = append(f.journal, journalEntry{a})
	}
}
