// Package scenario tests several decision cores in virtual time, under scripted
// failures and under random schedules of faults.
package scenario
