// Package e2e tests whole cells of separate processes on loopback.
package e2e
