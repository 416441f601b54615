// Package e2e tests complete cells of separate processes on the loopback interface.
package e2e
