package cluster

import (
	"fmt"
	"time"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/units"
)

// Profile describes the size of one team's deployment.
type Profile struct {
	Name string
	// ZoneDelay is the one-way delay between two availability zones.
	// CallerDelay is the one-way delay between a caller and an entry instance.
	ZoneDelay, CallerDelay time.Duration
	// Slots, Connections and ConnectDelay describe one database.
	Slots, Connections int
	ConnectDelay       time.Duration
	// Lag is the minimum replication lag of a replica.
	Lag time.Duration
	// ServiceTime is the time for which a statement occupies a slot.
	ServiceTime time.Duration
	// Answers are the team's answers to the questionnaire, from which its
	// contract is generated.
	Answers *questionnaire.Answers
	// Urgent, Normal and Low are the names of the services of each rank.
	Urgent, Normal, Low string
}

// Zones are the availability zones of each profile.
var Zones = []topo.Zone{"zone-a", "zone-b", "zone-c"}

// CallerZone is the zone of the callers.
const CallerZone topo.Zone = "callers"

// Sizes that are the same in both profiles.
const (
	connectDelay   = 10 * time.Millisecond
	replicationLag = 20 * time.Millisecond
	serviceTime    = time.Millisecond
)

// Profiles returns the names of the profiles.
func Profiles() []string { return examples.Profiles() }

// NewProfile returns a profile by name.
func NewProfile(name string) (Profile, error) {
	p := Profile{Name: name, ConnectDelay: connectDelay, Lag: replicationLag, ServiceTime: serviceTime}
	switch name {
	case "selam":
		p.ZoneDelay, p.CallerDelay = 750*time.Microsecond, 500*time.Microsecond
		p.Slots, p.Connections = 3, 20
		p.Urgent, p.Normal, p.Low = "booking", "returns", "stock"
	case "baumwachs":
		p.ZoneDelay, p.CallerDelay = 500*time.Microsecond, 1500*time.Microsecond
		p.Slots, p.Connections = 5, 55
		p.Urgent, p.Normal, p.Low = "placement", "dispatch", "catalogue"
	default:
		return Profile{}, fmt.Errorf("profile: %q is not one of %v", name, Profiles())
	}
	text, err := examples.Answers(name)
	if err != nil {
		return Profile{}, err
	}
	p.Answers, err = questionnaire.Parse(text)
	return p, err
}

// Groups returns the database groups of the profile.
func (p Profile) Groups() []topo.GroupID {
	var ids []topo.GroupID
	for _, d := range p.Answers.Databases {
		ids = append(ids, topo.GroupID(d))
	}
	return ids
}

// SetDurability makes a service of the profile require that this many
// databases hold each write.
func (p *Profile) SetDurability(service string, databases int) {
	p.Answers = p.Answers.Clone()
	for i := range p.Answers.Services {
		s := &p.Answers.Services[i]
		if s.Name != service {
			continue
		}
		s.HarmLost = questionnaire.HarmSevere
		if databases < 2 {
			s.HarmLost = questionnaire.HarmSlight
		}
	}
}

// SetTargets sets the target of every service of the profile.
func (p *Profile) SetTargets(d time.Duration) {
	p.Answers = p.Answers.Clone()
	for i := range p.Answers.Services {
		p.Answers.Services[i].Wait = units.Duration(d)
	}
}
