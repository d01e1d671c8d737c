package telemetry

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"
)

func recordAll(i *Instruments) {
	i.Request(Request{Service: "booking", Rank: 1, Outcome: outcome.Done, Duration: time.Second, Target: time.Millisecond})
	i.Request(Request{Service: "booking", Rank: 1, Outcome: outcome.NotRun, Code: outcome.CodeOverloaded})
	i.Read("stock", "ledger-1", topo.RoleReplica)
	i.Retry("stock", "connection lost")
	i.WriteGap("ledger-1", 1500*time.Millisecond)
	i.GroupTerm("ledger-1", 3)
	i.Floor("stock", 3, true)
	i.QueueLength("stock", 3, 7)
	i.QueueWait("stock", 3, 20*time.Millisecond)
	i.Pool("ledger-1/a", 2, 5)
	i.Callers(11)
	i.LeaseRemaining(-time.Second)
	i.ConfigRevision(12)
	i.UpstreamPace("ledger-1/b", 0.25)
	i.ReplicaLag("ledger-1/b", 40)
	i.Leader(true)
	i.Member("learner", 1500*time.Millisecond)
	i.Voters(5, 4, 5)
	i.ControlBytes(100)
	i.ClientBytes("message", 300)
	i.ClientClosed("platform", "stalled")
	i.Organisations([]OrganisationOperations{{Organisation: "acme", Taken: 40, Refused: 3, WithoutOwner: 2}, {Organisation: "other", Taken: 9}})
	i.Relays(RelayState{
		Sent: RelayOutcomes{Done: 7, Refused: 2, Lost: 1}, Served: RelayOutcomes{Done: 5},
		Upstreams: []UpstreamRelay{{Upstream: "ledger-1/a", Relayed: true, Holder: true}, {Upstream: "ledger-2/a"}},
	})
}

func scrape(t *testing.T, telemetry *Telemetry) string {
	w := httptest.NewRecorder()
	telemetry.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, w.Code)
	return w.Body.String()
}

// Guards against a series that stays for each organisation that was once among the
// largest, and for each upstream that is gone.
func TestSeriesOfFormerOrganisationsAndUpstreamsEnd(t *testing.T) {
	telemetry, err := New()
	require.NoError(t, err)
	defer func() { require.NoError(t, telemetry.Close(t.Context())) }()
	recordAll(telemetry.Instruments)
	require.Contains(t, scrape(t, telemetry), `organisation="acme"`)
	telemetry.Instruments.Organisations([]OrganisationOperations{{Organisation: "zenith"}})
	telemetry.Instruments.Relays(RelayState{Upstreams: []UpstreamRelay{{Upstream: "ledger-1/a"}}})
	text := scrape(t, telemetry)
	require.NotContains(t, text, `organisation="acme"`)
	require.Contains(t, text, `organisation="zenith"`)
	require.NotContains(t, text, `upstream="ledger-2/a"`)
	require.Contains(t, text, `cicadacove_relay_active{upstream="ledger-1/a"} 0`)
}

func TestMetricsInPrometheusFormat(t *testing.T) {
	telemetry, err := New()
	require.NoError(t, err)
	defer func() { require.NoError(t, telemetry.Close(t.Context())) }()
	recordAll(telemetry.Instruments)
	w := httptest.NewRecorder()
	telemetry.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, w.Code)
	for _, line := range []string{
		`cicadacove_requests_total{code="",outcome="done",rank="1",service="booking"} 1`,
		`cicadacove_requests_total{code="CC001",outcome="not run",rank="1",service="booking"} 1`,
		`cicadacove_requests_late_total{rank="1",service="booking"} 1`,
		`cicadacove_request_duration_seconds_sum{rank="1",service="booking"} 1`,
		`cicadacove_reads_total{group="ledger-1",role="replica",service="stock"} 1`,
		`cicadacove_retries_total{reason="connection lost",service="stock"} 1`,
		`cicadacove_write_gap_seconds_bucket{group="ledger-1",le="1"} 0`,
		`cicadacove_write_gap_seconds_bucket{group="ledger-1",le="1.5"} 1`,
		`cicadacove_group_term{group="ledger-1"} 3`,
		`cicadacove_floor_windows_total{kept="true",rank="3",service="stock"} 1`,
		`cicadacove_queue_length{rank="3",service="stock"} 7`,
		`cicadacove_queue_wait_seconds_count{rank="3",service="stock"} 1`,
		`cicadacove_pool_connections{state="busy",upstream="ledger-1/a"} 5`,
		`cicadacove_upstream_pace_ratio{upstream="ledger-1/b"} 0.25`,
		`cicadacove_callers 11`,
		`cicadacove_lease_remaining_seconds 0`,
		`cicadacove_config_revision 12`,
		`cicadacove_replica_lag{upstream="ledger-1/b"} 40`,
		`cicadacove_control_leader 1`,
		`cicadacove_control_member{state="none"} 0`,
		`cicadacove_control_member{state="learner"} 1`,
		`cicadacove_control_leaderless_seconds 1.5`,
		`cicadacove_control_voters{state="listed"} 5`,
		`cicadacove_control_voters{state="active"} 4`,
		`cicadacove_control_bytes_total 100`,
		`cicadacove_clients_held_bytes{kind="message"} 300`,
		`cicadacove_clients_closed_total{protocol="platform",reason="stalled"} 1`,
		`cicadacove_quota_operations{organisation="acme",result="taken"} 40`,
		`cicadacove_quota_operations{organisation="acme",result="refused"} 3`,
		`cicadacove_quota_operations{organisation="acme",result="without_owner"} 2`,
		`cicadacove_quota_operations{organisation="other",result="taken"} 9`,
		`cicadacove_relay_statements_total{direction="sent",outcome="done"} 7`,
		`cicadacove_relay_statements_total{direction="sent",outcome="refused"} 2`,
		`cicadacove_relay_statements_total{direction="sent",outcome="lost"} 1`,
		`cicadacove_relay_statements_total{direction="served",outcome="done"} 5`,
		`cicadacove_relay_active{upstream="ledger-1/a"} 1`,
		`cicadacove_relay_active{upstream="ledger-2/a"} 0`,
		`cicadacove_relay_holder{upstream="ledger-1/a"} 1`,
	} {
		require.Contains(t, w.Body.String(), line+"\n")
	}
}

func TestNilInstrumentsRecordNothing(t *testing.T) {
	recordAll(nil)
}

func TestLogPrefix(t *testing.T) {
	var b bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&b)
	defer klog.LogToStderr(true)
	Log("failover").Warningf("group %s has no primary", "ledger-1")
	klog.Flush()
	require.Contains(t, b.String(), "telemetry_test.go")
	require.Contains(t, b.String(), "] failover: group ledger-1 has no primary\n")
}

func BenchmarkRequest(b *testing.B) {
	telemetry, err := New()
	require.NoError(b, err)
	r := Request{Service: "stock", Rank: 3, Outcome: outcome.Done, Duration: time.Millisecond, Target: time.Second}
	for b.Loop() {
		telemetry.Instruments.Request(r)
	}
}
