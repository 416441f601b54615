package fleet

// journalEntry is an allocation that was made since Begin.
type journalEntry struct {
	allocation *Allocation
}

// Begin starts a transaction: Rollback undoes, and Keep retains, every Assume and Adopt
// that follows. Transactions don't nest.
func (f *Fleet) Begin() {
	f.inTransaction = true
	f.journal = f.journal[:0]
}

// Rollback ends the transaction and releases what was committed since Begin.
func (f *Fleet) Rollback() {
	f.inTransaction = false
	for i := len(f.journal) - 1; i >= 0; i-- {
		a := f.journal[i].allocation
		if f.tasks[a.Task.ID] == a {
			f.release(a)
		}
	}
	clear(f.journal)
	f.journal = f.journal[:0]
}

// Keep ends the transaction and retains what was committed since Begin.
func (f *Fleet) Keep() {
	f.inTransaction = false
	clear(f.journal)
	f.journal = f.journal[:0]
}

// journalAllocation records an allocation for Rollback during a transaction.
func (f *Fleet) journalAllocation(a *Allocation) {
	if f.inTransaction {
		f.journal = append(f.journal, journalEntry{a})
	}
}
