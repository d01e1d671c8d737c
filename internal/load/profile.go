// Package load generates open-loop load and runs the experiments on overload
// and on the loss of instances and primaries.
//
// Requests are sent on schedule, whether or not earlier ones have ended, and
// latencies count from the intended start. A stall therefore shows in the
// latencies of all requests that it delayed (no coordinated omission).
package load

import (
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/internal/cluster"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/load/live"
	"github.com/cicadacove/cicadacove/internal/load/model"
)

// Profile describes a team's deployment and workload.
type Profile struct {
	Name        string
	Zones       int
	Instances   int
	Groups      int
	Databases   int
	Slots       int
	Connections int
	// ZoneDelay and CallerDelay are one-way delays.
	ZoneDelay    time.Duration
	CallerDelay  time.Duration
	ConnectDelay time.Duration
	// Lease is the length of an entry instance's lease.
	Lease time.Duration
	// Workloads holds one workload for each rank, the most urgent first.
	Workloads []model.Workload
	// Shares is the usual demand by rank. For services that write it is a
	// fraction of the primary's slots, otherwise of the slots of all databases.
	Shares []float64
}

// Parameters that both profiles share in mode model.
const (
	entryInstances = 4
	lease          = 2 * time.Second
	// writeTime and readTime are the database times of one statement.
	writeTime = 8 * time.Millisecond
	readTime  = 4 * time.Millisecond
	// urgentStatements is the number of statements of a request of the first
	// rank.
	urgentStatements = 2
)

// usualShares is the usual demand by rank, as fractions like those of
// Profile.Shares.
var usualShares = []float64{0.30, 0.25, 0.30}

// ProfileNames lists the profiles.
func ProfileNames() []string { return cluster.Profiles() }

// ProfileByName returns the profile with the given name. Its services are
// those of the contract that is generated from the team's answers to the
// questionnaire.
func ProfileByName(name string) (Profile, error) {
	size, err := cluster.NewProfile(name)
	if err != nil {
		return Profile{}, err
	}
	generated, err := questionnaire.Generate(size.Answers, size.Answers.SupportEnds.AddDate(-1, 0, 0))
	if err != nil {
		return Profile{}, fmt.Errorf("profile %s: %w", name, err)
	}
	p := Profile{
		Name: name, Zones: len(cluster.Zones), Instances: entryInstances,
		Groups: len(size.Groups()), Databases: cluster.Databases,
		Slots: size.Slots, Connections: size.Connections,
		ZoneDelay: size.ZoneDelay, CallerDelay: size.CallerDelay, ConnectDelay: size.ConnectDelay,
		Lease: lease, Shares: usualShares,
	}
	for rank := contract.RankUrgent; rank <= contract.Ranks; rank++ {
		workload, err := workloadOf(&generated.Contract, rank)
		if err != nil {
			return Profile{}, fmt.Errorf("profile %s: %w", name, err)
		}
		p.Workloads = append(p.Workloads, workload)
	}
	return p, nil
}

// workloadOf returns the workload of the first service that has the rank.
func workloadOf(c *contract.Contract, rank int) (model.Workload, error) {
	for _, s := range c.Services {
		if s.Rank != rank {
			continue
		}
		workload := model.Workload{Service: s, Statements: 1, Time: readTime}
		if s.Writes {
			workload.Time = writeTime
		}
		if rank == contract.RankUrgent {
			workload.Statements = urgentStatements
		}
		return workload, nil
	}
	return model.Workload{}, fmt.Errorf("no service has rank %d", rank)
}

// slots returns the database slots that the service of a rank may use.
func (p *Profile) slots(rank int) float64 {
	if p.Workloads[rank-1].Service.Writes {
		return float64(p.Slots)
	}
	return float64(p.Slots * p.Databases)
}

// rate returns the requests per second that occupy the given share of the slots
// that the service of a rank may use.
func (p *Profile) rate(rank int, share float64) float64 {
	workload := p.Workloads[rank-1]
	secondsPerRequest := workload.Time.Seconds() * float64(workload.Statements)
	return share * p.slots(rank) / secondsPerRequest
}

// floor returns the slots that the contract reserves for a rank.
func (p *Profile) floor(rank int) float64 {
	return p.Workloads[rank-1].Service.FloorPercent / 100 * p.slots(rank)
}

// fitToCluster sets the number of statements and their times to those of the
// deployment that mode cluster starts.
func (p *Profile) fitToCluster() {
	workloads := make([]model.Workload, len(p.Workloads))
	for i, w := range p.Workloads {
		w.Time = live.ServiceTime
		w.Statements = 1
		if w.Service.Writes {
			w.Statements = live.WriteStatements
		}
		workloads[i] = w
	}
	p.Workloads = workloads
}
