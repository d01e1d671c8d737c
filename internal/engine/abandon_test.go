package engine

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/connpool"
	"github.com/cicadacove/cicadacove/internal/core/catalog"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// reportingGroup records the reports that the primary can't be reached.
type reportingGroup struct {
	*fakeGroup
	unreachable chan topo.Term
}

func (r *reportingGroup) ReportPrimary(_ topo.GroupID, t topo.Term, reachable bool) {
	if !reachable {
		r.unreachable <- t
	}
}

// A statement that waits for a connection when the instance abandons its statements says
// nothing about the primary.
func TestAbandonedConnectIsNoReportAboutThePrimary(t *testing.T) {
	for name, cause := range map[string]error{"plain cancel, as before": nil, "ErrStopping": ErrStopping} {
		t.Run(name, func(t *testing.T) {
			db := &reportingGroup{newFakeGroup(), make(chan topo.Term, 10)}
			route := catalog.Route{Database: "strict", Group: group, Consistency: catalog.Primary, StatementTimeout: 5 * time.Second,
				Service: contract.Service{Name: "strict", Rank: 1, Target: 5 * time.Second, MaxAge: time.Minute}}
			c, err := catalog.Build(1, []catalog.Route{route}, []catalog.Group{{ID: group, Connections: 40, Durability: 1}}, time.Second)
			require.NoError(t, err)
			connecting := make(chan struct{}, 10)
			e := New(Options[*fakeConn]{
				Zone: "zone-b", Control: db, Catalog: func() *catalog.Catalog { return c },
				Open: func(topo.Announcement) connpool.OpenFunc[*fakeConn] {
					return func(ctx context.Context, _ connpool.Key) (*fakeConn, error) {
						connecting <- struct{}{}
						<-ctx.Done()
						return nil, ctx.Err()
					}
				},
				Share: func() float64 { return 1 },
			})
			s, refused := e.Open("strict", "")
			require.NotNil(t, s, refused)
			ctx, abandon := context.WithCancelCause(context.Background())
			time.AfterFunc(50*time.Millisecond, func() { <-connecting; abandon(cause) })
			var got Reply
			require.NoError(t, s.Handle(ctx, Statement{ID: "x", Verb: Write, Text: "WRITE k v"}, func(r Reply) error { got = r; return nil }))
			t.Logf("answer: %+v", got.Outcome)
			require.Empty(t, db.unreachable, "the primary is reported as unreachable")
		})
	}
}
