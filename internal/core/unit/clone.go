package unit

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cloneMessage copies a message whose memory the reader reuses. It returns
// nil for a type of message that cannot be part of a unit.
func cloneMessage(msg pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return &pgproto3.Query{String: m.String}
	case *pgproto3.Parse:
		return &pgproto3.Parse{Name: m.Name, Query: m.Query, ParameterOIDs: slices.Clone(m.ParameterOIDs)}
	case *pgproto3.Bind:
		return cloneBind(m)
	case *pgproto3.Describe:
		return &pgproto3.Describe{ObjectType: m.ObjectType, Name: m.Name}
	case *pgproto3.Execute:
		return &pgproto3.Execute{Portal: m.Portal, MaxRows: m.MaxRows}
	case *pgproto3.Close:
		return &pgproto3.Close{ObjectType: m.ObjectType, Name: m.Name}
	case *pgproto3.Sync:
		return &pgproto3.Sync{}
	}
	return nil
}

func cloneBind(m *pgproto3.Bind) *pgproto3.Bind {
	params := make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		params[i] = slices.Clone(p)
	}
	return &pgproto3.Bind{
		DestinationPortal:    m.DestinationPortal,
		PreparedStatement:    m.PreparedStatement,
		ParameterFormatCodes: slices.Clone(m.ParameterFormatCodes),
		Parameters:           params,
		ResultFormatCodes:    slices.Clone(m.ResultFormatCodes),
	}
}
