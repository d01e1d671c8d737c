// Package scenario tests the guarantees of the whole system. It runs the real
// entry and control code with stand-in databases: with the scripts in
// testdata/scenarios, and with random plans of requests and faults. Package
// oracle decides whether a guarantee was violated.
package scenario
