package scenario

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/timeline"
)

// TestTimelineOfFailover collects the time lines of all processes through
// the admin API after a failover and a refused request, while one process is not
// running.
func TestTimelineOfFailover(t *testing.T) {
	t.Parallel()
	profile, err := cluster.NewProfile("selam")
	require.NoError(t, err)
	d, err := newDeployment(t.Context(), cluster.Options{Profile: profile, Seed: 1})
	require.NoError(t, err)
	defer d.cluster.Close()
	g := profile.Groups()[0]
	old, _ := d.cluster.Primary(g)
	d.cluster.Net.Partition("zone-a", "zone-b")
	d.cluster.Net.Partition("zone-a", "zone-c")
	require.Eventually(t, func() bool {
		_, ok := d.cluster.Entry(0).Node.Agent.Authority(g)
		return !ok
	}, recoveryTimeout, pollInterval)
	req := writeRequest{endpoint: endpoint{entry: 0, group: g}, identity: identity{session: "s1", byID: true}, parts: 1, service: profile.Urgent}
	req.requestID = "refused"
	require.Error(t, d.write(t.Context(), req))
	req.entry, req.requestID = 1, "landed"
	require.Eventually(t, func() bool { return d.write(t.Context(), req) == nil }, recoveryTimeout, pollInterval)
	d.cluster.Net.HealAll()

	var bases []string
	for _, e := range d.cluster.Entries() {
		bases = append(bases, "http://"+e.AdminAddr())
	}
	d.cluster.Kill(d.cluster.Entry(3))
	require.Eventually(t, func() bool {
		return isOrdered(collect(t, bases, timeline.Filter{Group: string(g)}).Events, old.ID())
	}, recoveryTimeout, pollInterval)
	c := collect(t, bases, timeline.Filter{Group: string(g)})
	require.Len(t, c.Unreached, 1)
	require.Equal(t, bases[3], c.Unreached[0].URL)
	refused := collect(t, bases, timeline.Filter{Request: "refused"}).Events
	require.NotEmpty(t, refused)
	require.Equal(t, timeline.RequestRefused, refused[len(refused)-1].Kind)

	var text strings.Builder
	require.NoError(t, c.WriteText(&text))
	t.Logf("\n%s", text.String())
}

func collect(t *testing.T, bases []string, f timeline.Filter) timeline.Collection {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return timeline.Collect(ctx, bases, f, func(ctx context.Context, base string, f timeline.Filter) (timeline.Excerpt, error) {
		client, err := admin.NewClient(admin.ClientOptions{URL: base})
		if err != nil {
			return timeline.Excerpt{}, err
		}
		return client.Timeline(ctx, f)
	})
}

// isOrdered reports whether the events contain the steps of the failover in
// order, followed by an event of an entry instance whose upstream is not the old
// primary.
func isOrdered(events []timeline.Event, old topo.UpstreamID) bool {
	steps := []timeline.Kind{
		timeline.FailoverBegun, timeline.FailoverFenced, timeline.FailoverPromoted, timeline.FailoverCompleted,
	}
	for _, e := range events {
		if len(steps) > 0 && e.Part == timeline.PartControl && e.Kind == steps[0] {
			steps = steps[1:]
		}
		if len(steps) == 0 && e.Part == timeline.PartAgent && e.Upstream != string(old) {
			return true
		}
	}
	return false
}
