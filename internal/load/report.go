package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cicadacove/cicadacove/internal/load/model"
)

// Mode is the environment that an experiment runs in.
type Mode string

// Modes.
const (
	// ModeModel runs the admission and grant algorithms against a model of the
	// databases and the network, in virtual time.
	ModeModel Mode = "model"
	// ModeCluster runs a whole deployment in this process, in real time.
	ModeCluster Mode = "cluster"
)

// Report is the outcome of an experiment.
type Report struct {
	Experiment string          `json:"experiment"`
	About      string          `json:"about"`
	Profile    string          `json:"profile"`
	Mode       Mode            `json:"mode"`
	Seed       uint64          `json:"seed"`
	Variants   []VariantReport `json:"variants"`
	Checks     []Check         `json:"checks"`
	// Skipped names the variants that the mode does not support.
	Skipped []string `json:"skipped,omitempty"`
}

// Failed reports whether a target was missed.
func (r *Report) Failed() bool {
	for _, c := range r.Checks {
		if !c.OK() {
			return true
		}
	}
	return false
}

// VariantReport is the outcome of one run.
type VariantReport struct {
	Name            string       `json:"name"`
	Ranks           []RankReport `json:"ranks"`
	PeakConnections int          `json:"peak_connections"`
	GrantMessages   int          `json:"grant_messages"`
	ReplicaShare    float64      `json:"replica_share"`
	RefusedButRan   int          `json:"refused_but_ran"`
	Doubled         int          `json:"doubled"`
	Lost            int          `json:"lost"`
	// Refusals counts refused requests by rank, code and reason, in mode
	// cluster.
	Refusals map[string]int `json:"refusals,omitempty"`
}

// RankReport holds the results of one rank. WithinShare is a share of the
// offered requests. FloorKept is the slot time of requests within target, as a
// share of the floor or of the demand if that is less.
type RankReport struct {
	Rank        int       `json:"rank"`
	Service     string    `json:"service"`
	Offered     int       `json:"offered"`
	Within      int       `json:"within"`
	Late        int       `json:"late"`
	Refused     int       `json:"refused"`
	GaveUp      int       `json:"gave_up"`
	Unknown     int       `json:"unknown"`
	WithinShare float64   `json:"within_share"`
	FloorKept   float64   `json:"floor_kept"`
	P50         float64   `json:"p50_ms"`
	P99         float64   `json:"p99_ms"`
	Goodput     []float64 `json:"goodput_per_second"`
}

func variantReport(p *Profile, s *model.Settings, name string, r *model.Result) VariantReport {
	v := VariantReport{
		Name: name, PeakConnections: r.PeakConnections, GrantMessages: r.Messages,
		ReplicaShare:  float64(r.OnReplicas) / float64(max(r.Reads, 1)),
		RefusedButRan: r.RefusedButRan, Doubled: r.Doubled, Lost: r.Lost, Refusals: r.Refusals,
	}
	for _, rank := range ranks() {
		v.Ranks = append(v.Ranks, rankReport(p, s, r, rank))
	}
	return v
}

func rankReport(p *Profile, s *model.Settings, r *model.Result, rank int) RankReport {
	result := r.Ranks[rank]
	return RankReport{
		Rank: rank, Service: p.Workloads[rank-1].Service.Name,
		Offered: result.Offered, Within: result.Within, Late: result.Late,
		Refused: result.Refused, GaveUp: result.GaveUp, Unknown: result.Unknown,
		WithinShare: withinTargetShare(r, rank), FloorKept: floorKept(p, s, r, rank),
		P50: milliseconds(result.Latency.ValueAtQuantile(50)), P99: milliseconds(result.Latency.ValueAtQuantile(99)),
		Goodput: perSecond(result.Bins),
	}
}

func milliseconds(microseconds int64) float64 {
	return (time.Duration(microseconds) * time.Microsecond).Seconds() * 1000
}

func perSecond(bins []int) []float64 {
	rates := make([]float64, len(bins))
	for i, n := range bins {
		rates[i] = float64(n) / model.BinWidth.Seconds()
	}
	return rates
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s\n", r.Experiment, r.About)
	fmt.Fprintf(w, "profile %s, mode %s, seed %d\n\n", r.Profile, r.Mode, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "variant\trank\tservice\toffered\twithin target\tshare\tlate\trefused\tgave up\tunknown\tfloor kept\tp50 ms\tp99 ms\t")
	for _, v := range r.Variants {
		for _, rank := range v.Ranks {
			fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%.0f%%\t%.1f\t%.1f\t\n",
				v.Name, rank.Rank, rank.Service, rank.Offered, rank.Within, 100*rank.WithinShare,
				rank.Late, rank.Refused, rank.GaveUp, rank.Unknown, 100*rank.FloorKept, rank.P50, rank.P99)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	r.printCounts(w)
	return r.printChecks(w)
}

func (r *Report) printCounts(w io.Writer) {
	fmt.Fprintln(w)
	for _, v := range r.Variants {
		fmt.Fprintf(w, "%s: peak connections %d, grant messages %d, reads on replicas %.1f%%, refused but ran %d, doubled %d, lost %d\n",
			v.Name, v.PeakConnections, v.GrantMessages, 100*v.ReplicaShare, v.RefusedButRan, v.Doubled, v.Lost)
		for _, reason := range slices.Sorted(maps.Keys(v.Refusals)) {
			fmt.Fprintf(w, "%s: refused %d: %s\n", v.Name, v.Refusals[reason], reason)
		}
	}
	for _, name := range r.Skipped {
		fmt.Fprintf(w, "%s: not run, mode %s does not support it\n", name, r.Mode)
	}
}

func (r *Report) printChecks(w io.Writer) error {
	fmt.Fprintln(w)
	for _, c := range r.Checks {
		status := "met"
		if !c.OK() {
			status = "MISSED"
		}
		if _, err := fmt.Fprintf(w, "%-6s %s: %.3f, want %.2f\n", status, c.Name, c.Got, c.Want); err != nil {
			return err
		}
	}
	return nil
}
