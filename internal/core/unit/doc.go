// Package unit assembles the protocol messages of one request of a caller into a
// unit: a simple query, or the messages of the extended protocol up to Sync. It
// decides whether the proxy supports the unit, and rewrites it for the upstream
// connection that it is sent on.
//
//	u := &unit.Unit{}
//	complete, err := u.Add(msg)  // until complete: Query or Sync
//	if err := u.Classify(prepared); err != nil { refuse }
//	out, err := u.Rewrite(prepared, conn.Prepared)
//
// The package uses the types of the protocol's messages and does no I/O.
package unit
