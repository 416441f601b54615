// Package soak holds a test only: it runs the real program as separate processes
// against stand-ins of the users' platform, injects faults from outside by signals
// and proxies, and checks what callers and workers see.
package soak
