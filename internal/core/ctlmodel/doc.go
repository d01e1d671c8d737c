// Package ctlmodel contains the randomized simulation test of leases, failover
// and the live view. Controllers, entry instances and databases advance in
// single steps over a network that loses, duplicates and reorders messages,
// with clocks that drift and processes that pause. The package contains only
// tests.
package ctlmodel
