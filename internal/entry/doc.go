// Package entry serves callers: it implements the PostgreSQL listener,
// sessions, transactions and shutdown of an entry instance.
//
// A request is one unit: a simple query, or the extended-protocol messages up
// to Sync. The contract of the caller's service decides how the server serves
// a unit:
//
//	read        routed to a replica whose data includes the session's last
//	            write and is no older than the service allows, or else to the
//	            primary (read.go)
//	write       sent to the primary in a transaction that also stores the
//	            request id, and acknowledged under the lease (write.go)
//	transaction pinned to one connection from BEGIN to its end (transaction.go)
//
// Each unit has one outcome: done, failed, not run or unknown. If the answer
// of a unit is lost, the server looks up its request id to determine the
// outcome (resolve.go).
package entry
