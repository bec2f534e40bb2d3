// Package integration holds the scenario tests, which run deployments of real
// processes, and an end-to-end test within one process.
package integration
