package unit

import (
	"fmt"
	"hash/fnv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// unusedName is a statement name that no connection prepares. Closing it has no
// effect but produces the answer that the caller expects.
const unusedName = "cc_closed"

// backendName returns the name of the statement on upstream connections, which
// sessions share.
func (p Prepared) backendName() string {
	h := fnv.New128a()
	h.Write([]byte(p.SQL))
	for _, oid := range p.OIDs {
		h.Write([]byte{0, byte(oid), byte(oid >> 8), byte(oid >> 16), byte(oid >> 24)})
	}
	return fmt.Sprintf("cc_%x", h.Sum(nil))
}

// Outgoing is a unit as it is sent on one connection.
type Outgoing struct {
	Msgs []pgproto3.FrontendMessage
	// Names are the statements that the unit prepares on the connection.
	Names []string
	// injected holds the ordinal numbers of the ParseComplete answers to Parse
	// messages that the caller did not send.
	injected map[int]bool
}

// Rewrite maps the caller's statement names to those of the connection and
// prepares the statements that the connection lacks. The error is an
// *UnknownStatementError.
func (u *Unit) Rewrite(known Statements, prepared func(name string) bool) (Outgoing, error) {
	if u.Simple {
		return Outgoing{Msgs: u.Msgs}, nil
	}
	r := &rewriter{
		known: known, prepared: prepared,
		local: Statements{}, available: map[string]bool{},
		out: Outgoing{injected: map[int]bool{}},
	}
	for _, msg := range u.Msgs {
		if err := r.add(msg); err != nil {
			return Outgoing{}, err
		}
	}
	return r.out, nil
}

// rewriter is the state of one Rewrite.
type rewriter struct {
	known    Statements
	prepared func(name string) bool
	// local are the statements that the unit itself has prepared so far.
	local Statements
	// available are the names of the connection's statements that the unit has
	// prepared or found prepared.
	available map[string]bool
	parses    int
	out       Outgoing
}

func (r *rewriter) add(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		r.parse(m)
	case *pgproto3.Bind:
		name, err := r.ensure(m.PreparedStatement)
		if err != nil {
			return err
		}
		b := *m
		b.PreparedStatement = name
		r.send(&b)
	case *pgproto3.Describe:
		if m.ObjectType != 'S' {
			r.send(m)
			return nil
		}
		name, err := r.ensure(m.Name)
		if err != nil {
			return err
		}
		r.send(&pgproto3.Describe{ObjectType: 'S', Name: name})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			m = &pgproto3.Close{ObjectType: 'S', Name: unusedName}
		}
		r.send(m)
	default:
		r.send(msg)
	}
	return nil
}

func (r *rewriter) send(msg pgproto3.FrontendMessage) { r.out.Msgs = append(r.out.Msgs, msg) }

// parse sends the caller's Parse. An unnamed statement, or one that the
// connection already has, is sent as an unnamed Parse, which produces the answer
// that the caller expects.
func (r *rewriter) parse(m *pgproto3.Parse) {
	p := Prepared{m.Query, m.ParameterOIDs}
	r.local[m.Name] = p
	name := p.backendName()
	if m.Name == "" || r.available[name] || r.prepared(name) {
		name = ""
	} else {
		r.available[name] = true
		r.out.Names = append(r.out.Names, name)
	}
	r.send(&pgproto3.Parse{Name: name, Query: p.SQL, ParameterOIDs: p.OIDs})
	r.parses++
}

// ensure returns the connection's name of a statement, and prepares the
// statement first if the connection lacks it.
func (r *rewriter) ensure(name string) (string, error) {
	p, isLocal := r.local[name]
	if isLocal && name == "" {
		return "", nil
	}
	if !isLocal {
		var ok bool
		if p, ok = r.known[name]; !ok {
			return "", &UnknownStatementError{name}
		}
	}
	backend := p.backendName()
	if !r.available[backend] && !r.prepared(backend) {
		r.send(&pgproto3.Parse{Name: backend, Query: p.SQL, ParameterOIDs: p.OIDs})
		r.out.injected[r.parses] = true
		r.parses++
		r.out.Names = append(r.out.Names, backend)
	}
	r.available[backend] = true
	return backend, nil
}

// Filter wraps sink so that the answers to messages that the caller did not
// send are dropped.
func (o *Outgoing) Filter(sink func(pgproto3.BackendMessage) error) func(pgproto3.BackendMessage) error {
	parses := 0
	return func(msg pgproto3.BackendMessage) error {
		if _, ok := msg.(*pgproto3.ParseComplete); ok {
			parses++
			if o.injected[parses-1] {
				return nil
			}
		}
		return sink(msg)
	}
}
