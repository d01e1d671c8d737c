package measure

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadacove/cicadacove/internal/agent"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// settleTime is the time before the measurement begins. It keeps
	// registrations and changes of the live view out of the result.
	settleTime = 2 * time.Second
	// announceInterval is the time between two announcements of one upstream.
	announceInterval = 500 * time.Millisecond
)

// ControlOptions configures RunControl.
type ControlOptions struct {
	// Instances are the numbers of agents to measure, without upstreams.
	Instances []int
	// Upstreams are the numbers of announced upstreams to measure, with
	// UpstreamInstances agents.
	Upstreams         []int
	UpstreamInstances int
	// Duration is the time for which each size is measured.
	Duration time.Duration
}

// Control is the cost of the control protocol at one size. Rates are per
// second; AgentIn and AgentOut are means per agent. The processor time and the
// memory are those of the whole process, which also runs the voters; CPUPerAgent
// and HeapPerAgent divide them by the number of agents.
type Control struct {
	Instances int     `json:"instances"`
	Upstreams int     `json:"upstreams"`
	LeaderIn  float64 `json:"leader_in_bytes_s"`
	LeaderOut float64 `json:"leader_out_bytes_s"`
	VoterIn   float64 `json:"voter_in_bytes_s"`
	VoterOut  float64 `json:"voter_out_bytes_s"`
	AgentIn   float64 `json:"agent_in_bytes_s"`
	AgentOut  float64 `json:"agent_out_bytes_s"`
	// CPUMillis is the processor time in milliseconds per second.
	CPUMillis    float64 `json:"cpu_ms_s"`
	CPUPerAgent  float64 `json:"cpu_ms_s_per_instance"`
	HeapBytes    uint64  `json:"memory_bytes"`
	HeapPerAgent float64 `json:"memory_bytes_per_instance"`
	// JoinBytes is the number of bytes that the leader sends because one more
	// instance joins.
	JoinBytes float64 `json:"join_leader_out_bytes"`
}

// RunControl measures the control protocol with voterCount voters at each size.
func RunControl(ctx context.Context, o ControlOptions) ([]Control, error) {
	var out []Control
	for _, n := range o.Instances {
		row, err := measureControl(ctx, n, 0, o.Duration)
		if err != nil {
			return nil, err
		}
		out = append(out, *row)
	}
	for _, upstreams := range o.Upstreams {
		row, err := measureControl(ctx, o.UpstreamInstances, upstreams, o.Duration)
		if err != nil {
			return nil, err
		}
		out = append(out, *row)
	}
	return out, nil
}

func measureControl(ctx context.Context, instances, upstreams int, d time.Duration) (*Control, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fleet{}
	defer f.close()
	if err := f.startVoters(ctx); err != nil {
		return nil, fmt.Errorf("measure: voters: %w", err)
	}
	before := memoryInUse()
	agentCtx, stopAgents := context.WithCancel(ctx)
	f.stopAgents = stopAgents
	if err := f.startAgents(agentCtx, instances); err != nil {
		return nil, fmt.Errorf("measure: agents: %w", err)
	}
	g, ctx := errgroup.WithContext(ctx)
	announceCtx, stop := context.WithCancel(ctx)
	defer stop()
	g.Go(func() error { return announce(announceCtx, f.agents, upstreams) })
	row, err := f.measureRates(ctx, d)
	if err != nil {
		return nil, err
	}
	row.Instances, row.Upstreams = instances, upstreams
	row.CPUPerAgent = row.CPUMillis / float64(instances)
	if after := memoryInUse(); after > before {
		row.HeapBytes = after - before
	}
	row.HeapPerAgent = float64(row.HeapBytes) / float64(instances)
	stop()
	if err := g.Wait(); err != nil {
		return nil, err
	}
	row.JoinBytes, err = f.measureJoin(agentCtx, row.LeaderOut)
	return row, err
}

// announce passes an announcement of each upstream to one of the agents every
// announceInterval. The upstreams are replicas of groups without a primary, so
// the voters accept none of them and the measurement covers only the relaying of
// the announcements.
func announce(ctx context.Context, agents []*agent.Agent, upstreams int) error {
	if upstreams == 0 {
		return nil
	}
	ticker := time.NewTicker(announceInterval / time.Duration(upstreams))
	defer ticker.Stop()
	for i := 0; ; i++ {
		n := i % upstreams
		if err := agents[n%len(agents)].Announce(announcement(n, uint64(i/upstreams+1))); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func announcement(n int, seq uint64) topo.Announcement {
	const groupSize = 3
	return topo.Announcement{
		Group: topo.GroupID(fmt.Sprint("ledger-", n/groupSize)),
		ID:    topo.UpstreamID(fmt.Sprintf("ledger-%d/%d", n/groupSize, n%groupSize)),
		Addr:  fmt.Sprintf("127.0.0.1:%d", 1+n), Zone: "a", Role: topo.RoleReplica,
		Point: topo.Point{Term: 1, Position: topo.Position(seq)},
		Slots: 3, Connections: 20, Incarnation: 1, Seq: seq,
	}
}

// ControlFit is a line fitted to one column: by the number of instances, over
// the rows without upstreams, or by the number of upstreams, over the others.
type ControlFit struct {
	Column string `json:"column"`
	By     string `json:"by"`
	Line
	// Extrapolated is the value of the line at Target instances. It is set only
	// for lines by instances.
	Extrapolated float64 `json:"extrapolated,omitempty"`
	Target       int     `json:"target,omitempty"`
}

// controlColumns are the columns that FitControl fits lines to.
var controlColumns = []struct {
	name  string
	value func(Control) float64
	// squared columns grow with the square of the number of instances.
	squared bool
}{
	{"leader_in_bytes_s", func(c Control) float64 { return c.LeaderIn }, false},
	{"leader_out_bytes_s", func(c Control) float64 { return c.LeaderOut }, false},
	{"voter_in_bytes_s", func(c Control) float64 { return c.VoterIn }, false},
	{"voter_out_bytes_s", func(c Control) float64 { return c.VoterOut }, false},
	{"agent_in_bytes_s", func(c Control) float64 { return c.AgentIn }, false},
	{"agent_out_bytes_s", func(c Control) float64 { return c.AgentOut }, false},
	{"cpu_ms_s", func(c Control) float64 { return c.CPUMillis }, false},
	{"memory_bytes", func(c Control) float64 { return float64(c.HeapBytes) }, true},
	{"join_leader_out_bytes", func(c Control) float64 { return c.JoinBytes }, true},
}

// fitVariable returns the x value of the fit: the number of instances or its
// square.
func fitVariable(instances int, squared bool) float64 {
	if squared {
		return float64(instances) * float64(instances)
	}
	return float64(instances)
}

// FitControl fits lines to the rows of RunControl and extrapolates the lines by
// instances to target instances.
func FitControl(rows []Control, target int) []ControlFit {
	var out []ControlFit
	for _, column := range controlColumns {
		var instancesX, upstreamsX, instancesY, upstreamsY []float64
		for _, r := range rows {
			if r.Upstreams == 0 {
				instancesX, instancesY = append(instancesX, fitVariable(r.Instances, column.squared)), append(instancesY, column.value(r))
				continue
			}
			upstreamsX, upstreamsY = append(upstreamsX, float64(r.Upstreams)), append(upstreamsY, column.value(r))
		}
		line, by := FitLine(instancesX, instancesY), "instances"
		if column.squared {
			by = "instances squared"
		}
		out = append(out,
			ControlFit{Column: column.name, By: by, Line: line, Extrapolated: line.At(fitVariable(target, column.squared)), Target: target},
			ControlFit{Column: column.name, By: "upstreams", Line: FitLine(upstreamsX, upstreamsY)})
	}
	return out
}
