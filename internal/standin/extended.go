package standin

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a parsed statement of the extended protocol, with the columns that
// the session last described to the caller.
type prepared struct {
	command command
	columns []column
}

// portal is a bound statement of the extended protocol.
type portal struct {
	*prepared
	args    []*string
	formats []int16
}

func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(m)
	case *pgproto3.Close:
		s.closeObject(m)
		return nil
	default:
		return &pgError{codeProtocol, fmt.Sprintf("unexpected message %T", message)}
	}
}

func (s *session) parse(m *pgproto3.Parse) error {
	statements := splitStatements(m.Query)
	if len(statements) > 1 {
		return &pgError{codeSyntax, "cannot insert multiple commands into a prepared statement"}
	}
	var c command
	if len(statements) == 1 {
		c = parseCommand(statements[0])
	}
	s.prepared[m.Name] = &prepared{command: c}
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) statement(name string) (*prepared, error) {
	p, ok := s.prepared[name]
	if !ok {
		return nil, &pgError{codeNoStatement, "prepared statement \"" + name + "\" does not exist"}
	}
	return p, nil
}

func (s *session) portal(name string) (*portal, error) {
	p, ok := s.portals[name]
	if !ok {
		return nil, &pgError{codeNoPortal, "portal \"" + name + "\" does not exist"}
	}
	return p, nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	statement, err := s.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(m.Parameters) != statement.command.params {
		return &pgError{codeProtocol, fmt.Sprintf("bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), statement.command.params)}
	}
	p := &portal{prepared: statement, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for _, value := range m.Parameters {
		if value == nil {
			p.args = append(p.args, nil)
			continue
		}
		text := string(value)
		p.args = append(p.args, &text)
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// columnsOf returns the result columns of a statement.
func (s *session) columnsOf(c command) ([]column, error) {
	if c.control != nil {
		return c.control.columns(), nil
	}
	if c.verb == "SHOW" {
		resp, err := runShow(s, c)
		return resp.result.columns, err
	}
	if _, ok := sessionCommands[c.verb]; ok || c.verb == "" {
		return nil, nil
	}
	return s.d.describe(s.tx, c)
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		return s.describeStatement(m.Name)
	}
	p, err := s.portal(m.Name)
	if err != nil {
		return err
	}
	if p.columns, err = s.columnsOf(p.command); err != nil {
		return err
	}
	s.sendDescription(p.columns, p.formats)
	return nil
}

func (s *session) describeStatement(name string) error {
	p, err := s.statement(name)
	if err != nil {
		return err
	}
	if p.columns, err = s.columnsOf(p.command); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, p.command.params)})
	s.sendDescription(p.columns, nil)
	return nil
}

func (s *session) sendDescription(columns []column, formats []int16) {
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(columns, formats))
}

func (s *session) execute(m *pgproto3.Execute) error {
	p, err := s.portal(m.Portal)
	if err != nil {
		return err
	}
	if p.command.verb == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	resp, err := s.runStatement(p.command, p.args, false)
	if err != nil {
		return err
	}
	s.sendRows(resp.result, p.columns, p.formats)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(resp.tag)})
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.prepared, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(columns))}
	for i, c := range columns {
		d.Fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return d
}

// formatOf returns the format of column i, given the result formats of a Bind
// message.
func formatOf(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return pgproto3.TextFormat
	case 1:
		return formats[0]
	default:
		return formats[min(i, len(formats)-1)]
	}
}

// sendRows sends the rows of a result, converted to the types in described.
func (s *session) sendRows(r result, described []column, formats []int16) {
	if described == nil {
		described = r.columns
	}
	for _, row := range r.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			v = convert(v, described[i].oid)
			if formatOf(formats, i) == pgproto3.BinaryFormat {
				values[i] = binaryValue(v)
			} else {
				values[i] = textValue(v)
			}
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
}

// convert converts a number to the type of its described column.
func convert(v any, oid uint32) any {
	switch v := v.(type) {
	case int64:
		switch oid {
		case oidFloat8:
			return float64(v)
		case oidBool:
			return v != 0
		case oidText:
			return strconv.FormatInt(v, 10)
		}
	case float64:
		switch oid {
		case oidInt8:
			return int64(v)
		case oidText:
			return strconv.FormatFloat(v, 'g', -1, 64)
		}
	case string:
		if n, err := strconv.ParseInt(v, 10, 64); oid == oidInt8 && err == nil {
			return n
		}
	}
	return v
}

func textValue(v any) []byte {
	switch v := v.(type) {
	case nil:
		return nil
	case int64:
		return strconv.AppendInt(nil, v, 10)
	case float64:
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case bool:
		if v {
			return []byte("t")
		}
		return []byte("f")
	case []byte:
		return []byte(`\x` + hex.EncodeToString(v))
	case string:
		return []byte(v)
	default:
		return fmt.Append(nil, v)
	}
}

func binaryValue(v any) []byte {
	switch v := v.(type) {
	case int64:
		return binary.BigEndian.AppendUint64(nil, uint64(v))
	case float64:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(v))
	case bool:
		if v {
			return []byte{1}
		}
		return []byte{0}
	case []byte:
		return v
	default:
		return textValue(v)
	}
}
