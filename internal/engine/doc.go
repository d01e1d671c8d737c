// Package engine serves the sessions of callers over typed statements and
// typed outcomes. It knows no wire protocol: a codec turns a caller's messages
// into Statements, and a driver opens connections to upstreams.
//
//	s, refused := e.Open("orders")
//	defer s.Close()
//	err := s.Handle(ctx, Statement{ID: id, Verb: Read, Text: text}, func(r Reply) error {
//		return codec.Write(r)
//	})
//
// A transaction runs on one connection from its first statement to its end.
// Single statements share connections. An answer that depends on the primary
// is delivered only while this instance's lease covers the primary's term.
package engine
