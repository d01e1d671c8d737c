package contract

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Limits of a contract.
const (
	MaxServices     = 32
	MaxGroups       = 1000
	MaxNameBytes    = 63
	MinDurability   = 1
	MaxDurability   = 2
	MaxTarget       = 10 * time.Minute
	MaxFloorPercent = 100.0
)

// floorTolerance, in per cent, allows for rounding in sums of fractions.
const floorTolerance = 1e-6

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]*$`)
	groupPattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]*$`)
)

// Validate checks a contract that is about to take effect at time now alongside
// the others. A contract with the same ID among the others is the one being
// replaced and is not compared. The error is a FieldErrors.
func Validate(c *Contract, others []Contract, now time.Time) error {
	var errs FieldErrors
	checkName(&errs, "id", c.ID)
	checkName(&errs, "team", c.Team)
	checkGroups(&errs, c.Groups)
	checkServices(&errs, c.Services)
	checkEnd(&errs, c, now)
	checkOverlaps(&errs, c, others, now)
	return errs.Err()
}

// ValidateConfig checks all contracts of a configuration and their overlaps. It
// accepts contracts that have ended. Fields are prefixed with "contracts.<id>.".
func ValidateConfig(cfg *Config, now time.Time) error {
	var errs FieldErrors
	for i := range cfg.Contracts {
		c := &cfg.Contracts[i]
		var own FieldErrors
		checkName(&own, "id", c.ID)
		checkName(&own, "team", c.Team)
		checkGroups(&own, c.Groups)
		checkServices(&own, c.Services)
		if !c.Ended(now) {
			checkOverlaps(&own, c, cfg.Contracts[:i], now)
		}
		if slices.ContainsFunc(cfg.Contracts[:i], func(o Contract) bool { return o.ID == c.ID }) {
			own.Add("id", ProblemDuplicate, "two contracts have this id")
		}
		for _, e := range own {
			e.Field = "contracts." + c.ID + "." + e.Field
			errs = append(errs, e)
		}
	}
	return errs.Err()
}

func checkName(errs *FieldErrors, field, name string) {
	switch {
	case name == "":
		errs.Add(field, ProblemMissing, "must not be empty")
	case len(name) > MaxNameBytes:
		errs.Add(field, ProblemOutOfRange, fmt.Sprintf("has %d bytes, at most %d are allowed", len(name), MaxNameBytes))
	case !namePattern.MatchString(name):
		errs.Add(field, ProblemMalformed, fmt.Sprintf("%q may hold only a-z, 0-9, '_', '.' and '-'", name))
	}
}

func checkGroups(errs *FieldErrors, groups []topo.GroupID) {
	if len(groups) == 0 {
		errs.Add("groups", ProblemMissing, "must name at least one database group")
	}
	if len(groups) > MaxGroups {
		errs.Add("groups", ProblemOutOfRange, fmt.Sprintf("names %d groups, at most %d are allowed", len(groups), MaxGroups))
	}
	seen := map[topo.GroupID]bool{}
	for i, g := range groups {
		field := fmt.Sprintf("groups[%d]", i)
		switch {
		case g == "":
			errs.Add(field, ProblemMissing, "must not be empty")
		case len(g) > MaxNameBytes || !groupPattern.MatchString(string(g)):
			errs.Add(field, ProblemMalformed, fmt.Sprintf("%q is not a name of a database group", g))
		case seen[g]:
			errs.Add(field, ProblemDuplicate, fmt.Sprintf("group %q is named twice", g))
		}
		seen[g] = true
	}
}

func checkServices(errs *FieldErrors, services []Service) {
	if len(services) == 0 {
		errs.Add("services", ProblemMissing, "must hold at least one service")
	}
	if len(services) > MaxServices {
		errs.Add("services", ProblemOutOfRange, fmt.Sprintf("holds %d services, at most %d are allowed", len(services), MaxServices))
	}
	seen := map[string]bool{}
	floors := 0.0
	for i := range services {
		s := &services[i]
		prefix := serviceField(s, i)
		checkService(errs, prefix, s)
		if seen[s.Name] {
			errs.Add(prefix+"name", ProblemDuplicate, fmt.Sprintf("service %q is named twice", s.Name))
		}
		seen[s.Name] = true
		floors += s.FloorPercent
	}
	if floors > MaxFloorPercent+floorTolerance {
		errs.Add("services.floor_percent", ProblemOutOfRange,
			fmt.Sprintf("the floors of all services add up to %g %%, at most %g %% can be kept", floors, MaxFloorPercent))
	}
}

// serviceField returns the prefix of the fields of a service. It contains the
// name of the service, or its index if it has none.
func serviceField(s *Service, index int) string {
	if s.Name == "" {
		return fmt.Sprintf("services[%d].", index)
	}
	return "services." + s.Name + "."
}

func checkService(errs *FieldErrors, prefix string, s *Service) {
	checkName(errs, prefix+"name", s.Name)
	if s.Rank < RankUrgent || s.Rank > Ranks {
		errs.Add(prefix+"rank", ProblemOutOfRange, fmt.Sprintf("is %d, must be %d to %d", s.Rank, RankUrgent, Ranks))
	}
	if s.MaxAge < 0 {
		errs.Add(prefix+"max_age", ProblemOutOfRange, "must not be negative")
	}
	if s.Writes && s.MaxAge > 0 {
		errs.Add(prefix+"max_age", ProblemContradiction, "a service that writes goes to the primary and must have the age 0")
	}
	if s.Target <= 0 || s.Target > MaxTarget {
		errs.Add(prefix+"target", ProblemOutOfRange, fmt.Sprintf("is %s, must be more than 0 and at most %s", s.Target, MaxTarget))
	}
	// The negated comparison also refuses NaN.
	if !(s.FloorPercent >= 0 && s.FloorPercent <= MaxFloorPercent) {
		errs.Add(prefix+"floor_percent", ProblemOutOfRange, fmt.Sprintf("is %g %%, must be 0 %% to %g %%", s.FloorPercent, MaxFloorPercent))
	}
	if s.Durability < MinDurability || s.Durability > MaxDurability {
		errs.Add(prefix+"durability", ProblemOutOfRange, fmt.Sprintf("is %d, must be %d to %d databases", s.Durability, MinDurability, MaxDurability))
	}
}

func checkEnd(errs *FieldErrors, c *Contract, now time.Time) {
	switch {
	case c.EndsAt.IsZero():
		errs.Add("ends_at", ProblemMissing, "must be a date")
	case c.Ended(now):
		errs.Add("ends_at", ProblemPast, fmt.Sprintf("%s has passed", c.EndsAt.UTC().Format(time.RFC3339)))
	}
}

// checkOverlaps refuses groups that another running contract already covers.
func checkOverlaps(errs *FieldErrors, c *Contract, others []Contract, now time.Time) {
	position := make(map[topo.GroupID]int, len(c.Groups))
	for i, g := range c.Groups {
		position[g] = i
	}
	for i := range others {
		o := &others[i]
		if o.ID == c.ID || o.Ended(now) {
			continue
		}
		for _, g := range o.Groups {
			j, covered := position[g]
			if !covered {
				continue
			}
			errs.Add(fmt.Sprintf("groups[%d]", j), ProblemOverlap,
				fmt.Sprintf("group %q is covered by contract %q until %s", g, o.ID, o.EndsAt.UTC().Format(time.RFC3339)))
		}
	}
}
