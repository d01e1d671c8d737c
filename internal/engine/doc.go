// Package engine serves caller sessions with typed statements and outcomes. It
// is independent of wire protocols: a codec turns a caller's messages into
// Statements, and a driver opens connections to upstreams.
//
//	s, refused := e.Open("orders")
//	defer s.Close()
//	err := s.Handle(ctx, Statement{ID: id, Verb: Read, Text: text}, func(r Reply) error {
//		return codec.Write(r)
//	})
//
// A transaction uses one connection from its first statement to its end;
// statements outside of transactions share connections. An answer that depends
// on the primary is delivered only while this instance holds a lease for the
// primary's term.
package engine
