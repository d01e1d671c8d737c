package upstream

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Status is an upstream's answer to a control statement.
type Status struct {
	ID         topo.UpstreamID
	Group      topo.GroupID
	Role       topo.Role
	Point      topo.Point
	FencedTerm topo.Term
}

// WaitSQL returns the statement that completes when the database covers point, or
// after limit.
func WaitSQL(point topo.Point, limit time.Duration) string {
	return fmt.Sprintf("SELECT cicadacove_wait('%s', %d)", point, limit.Milliseconds())
}

// ParseStatus parses the row of an answer to a control statement.
func ParseStatus(rows [][]string) (Status, error) {
	if len(rows) != 1 || len(rows[0]) < 6 {
		return Status{}, fmt.Errorf("upstream status: want one row of 6 columns")
	}
	row := rows[0]
	point, err := topo.ParsePoint(row[3] + "/" + row[4])
	if err != nil {
		return Status{}, fmt.Errorf("upstream status: %w", err)
	}
	fenced, err := strconv.ParseUint(row[5], 10, 64)
	if err != nil {
		return Status{}, fmt.Errorf("upstream status: fenced_term: %w", err)
	}
	return Status{
		ID:         topo.UpstreamID(row[0]),
		Group:      topo.GroupID(row[1]),
		Role:       topo.Role(row[2]),
		Point:      point,
		FencedTerm: topo.Term(fenced),
	}, nil
}

// Wait returns the status of the database as soon as it covers point, or after
// limit.
func (c *Conn) Wait(ctx context.Context, point topo.Point, limit time.Duration) (Status, error) {
	rows, a, err := c.Exec(ctx, WaitSQL(point, limit))
	if err != nil {
		return Status{}, err
	}
	if a.Err != nil {
		return Status{}, a.Err
	}
	return ParseStatus(rows)
}
