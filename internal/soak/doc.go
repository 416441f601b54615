// Package soak contains only a test. The test runs the real program as separate
// processes against stand-ins of the platform's services, injects faults from
// outside by signals and proxies, and checks what clients and workers observe.
package soak
