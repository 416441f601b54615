// Package scenario holds scripted failures and random fault schedules, run
// against several decision cores in virtual time.
package scenario
