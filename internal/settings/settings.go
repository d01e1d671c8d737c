// Package settings reads the settings of one process from a TOML file,
// validates them and prints them with their units, defaults and descriptions.
//
// The settings do not contain secrets, but the paths of the files that do.
package settings

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/units"
)

// Auth is the method by which callers authenticate.
type Auth string

// Authentication methods.
const (
	// AuthSCRAM requires SCRAM-SHA-256 with the users of a file.
	AuthSCRAM Auth = "scram"
	// AuthTrust accepts every caller. It is allowed only on a loopback
	// address.
	AuthTrust Auth = "trust"
)

// Settings holds all settings of a process. The tags hold the key in the file,
// the validation rules, the unit and the description of each setting.
type Settings struct {
	Instance  Instance  `toml:"instance" doc:"Who this entry instance is."`
	Caller    Caller    `toml:"caller" doc:"The side of the callers: PostgreSQL protocol."`
	Peer      Peer      `toml:"peer" doc:"The protocol between entry instances."`
	Admin     Admin     `toml:"admin" doc:"HTTP: admin API, health, metrics and announcements of upstreams."`
	Control   Control   `toml:"control" doc:"The control voter. It needs a disk."`
	Upstream  Upstream  `toml:"upstream" doc:"The side of the upstreams: connections to databases."`
	Lease     Lease     `toml:"lease" doc:"Leases, under which writes are acknowledged. Equal on all instances."`
	Detection Detection `toml:"detection" doc:"Detection of failed upstreams."`
	Limits    Limits    `toml:"limits" doc:"Limits of this process."`
	Log       Log       `toml:"log" doc:"Logs on the standard error stream."`
}

// Instance identifies the entry instance.
type Instance struct {
	ID   string `toml:"id" validate:"required,name" doc:"Unique name of the entry instance."`
	Zone string `toml:"zone" validate:"required,name" doc:"Availability zone in which it runs."`
}

// Caller configures the listener for callers.
type Caller struct {
	Listen    string `toml:"listen" validate:"required,ipport" unit:"IP:port" doc:"Address for callers; port 0 takes a free one."`
	TLSCert   string `toml:"tls_cert" validate:"required_with=TLSKey" unit:"file" doc:"Certificate chain (PEM); empty: no TLS. Read again when it changes."`
	TLSKey    string `toml:"tls_key" validate:"required_with=TLSCert" unit:"file" doc:"Private key of the certificate (PEM)."`
	Auth      Auth   `toml:"auth" validate:"oneof=scram trust" unit:"scram or trust" doc:"Authentication of callers; trust only on a loopback address."`
	UsersFile string `toml:"users_file" validate:"required_if=Auth scram" unit:"file" doc:"Users of callers with their SCRAM verifiers."`
}

// Peer configures the protocol between entry instances.
type Peer struct {
	Listen     string   `toml:"listen" validate:"required,ipport" unit:"IP:port" doc:"Address for other entry instances."`
	Advertise  string   `toml:"advertise" validate:"omitempty,ipport" unit:"IP:port" doc:"Address that the others use; empty: the same as listen."`
	SecretFile string   `toml:"secret_file" validate:"required" unit:"file" doc:"Secret shared by all entry instances, which authenticates them."`
	Voters     []string `toml:"voters" validate:"min=1,max=7,unique,dive,ipport" unit:"IP:port" doc:"Peer addresses of the control voters, 1 to 7."`
}

// Admin configures the HTTP listener.
type Admin struct {
	Listen     string `toml:"listen" validate:"required,ipport" unit:"IP:port" doc:"Address of the HTTP server."`
	TLSCert    string `toml:"tls_cert" validate:"required_with=TLSKey" unit:"file" doc:"Certificate chain (PEM); empty: no TLS. Read again when it changes."`
	TLSKey     string `toml:"tls_key" validate:"required_with=TLSCert" unit:"file" doc:"Private key of the certificate (PEM)."`
	TokensFile string `toml:"tokens_file" unit:"file" doc:"Hashed bearer tokens with team and role. Empty: only a loopback address is allowed."`
}

// Control configures the control voter.
type Control struct {
	Voter   bool   `toml:"voter" doc:"Run a control voter in this process."`
	DataDir string `toml:"data_dir" validate:"required_if=Voter true" unit:"folder" doc:"Folder of the voter's log and snapshots; one process at a time uses it."`
}

// Upstream configures connections to databases.
type Upstream struct {
	User            string `toml:"user" validate:"required" doc:"User at the databases."`
	PasswordFile    string `toml:"password_file" unit:"file" doc:"Password at the databases; empty: none is sent."`
	AnnounceKeyFile string `toml:"announce_key_file" unit:"file" doc:"Key that signs announcements; empty: unsigned ones are accepted."`
}

// Lease configures leases.
type Lease struct {
	Duration        units.Duration `toml:"duration" validate:"gt=0" unit:"duration" doc:"Time for which a lease holds, counted from the sending of its renewal."`
	RenewEvery      units.Duration `toml:"renew_every" validate:"gt=0" unit:"duration" doc:"Time between renewals; at most a third of the duration."`
	MaxDriftPercent float64        `toml:"max_drift_percent" validate:"gte=0,lte=10" unit:"per cent" doc:"Largest difference in speed of two clocks."`
}

// Detection configures the detection of failed upstreams.
type Detection struct {
	ProbeEvery  units.Duration `toml:"probe_every" validate:"gt=0" unit:"duration" doc:"Time between probes of an upstream."`
	FailAfter   units.Duration `toml:"fail_after" validate:"gt=0" unit:"duration" doc:"Silence after which an upstream counts as failed; more than one probe."`
	ExpireAfter units.Duration `toml:"expire_after" validate:"gt=0" unit:"duration" doc:"Age at which an announcement expires, so that its upstream gets no new work; upstreams announce themselves several times within it."`
}

// Limits bounds the resources that the process uses.
type Limits struct {
	Callers         int            `toml:"callers" validate:"min=1,max=1000000" unit:"connections" doc:"Connections of callers at one time, at most three quarters of the descriptors; further ones replace those that rest, or are refused."`
	MaxMessage      units.Bytes    `toml:"max_message" validate:"min=1024,max=1073741824" unit:"size" doc:"Longest protocol message of a caller or an upstream."`
	Memory          units.Bytes    `toml:"memory" validate:"min=67108864" unit:"size" doc:"Memory of the machine. Callers may fill three tenths of it; the program aims to stay below seven tenths."`
	DrainDelay      units.Duration `toml:"drain_delay" validate:"gte=0" unit:"duration" doc:"At a graceful shutdown, the time between readiness going red and the end of new callers: longer than the balancer's check."`
	ShutdownTimeout units.Duration `toml:"shutdown_timeout" validate:"gt=0" unit:"duration" doc:"Grace period of a graceful shutdown, from the signal. Open transactions have half of it, running statements five sixths."`
	IdleTransaction units.Duration `toml:"idle_transaction" validate:"gt=0" unit:"duration" doc:"Longest pause of a caller inside a transaction; then it is rolled back."`
}

// Log configures logs.
type Log struct {
	Level int `toml:"level" validate:"min=0,max=9" unit:"0 to 9" doc:"Verbosity: 0 for events that an operator must see, 2 for decisions, 4 for single requests."`
}

// ppmPerPercent is the number of parts per million in one per cent.
const ppmPerPercent = 10_000.0

// Default returns the settings with their defaults. Settings without a default
// are empty and must be set.
func Default() Settings {
	return Settings{
		Caller:    Caller{Listen: "127.0.0.1:6432", Auth: AuthSCRAM},
		Peer:      Peer{Listen: "127.0.0.1:6433"},
		Admin:     Admin{Listen: "127.0.0.1:6434"},
		Upstream:  Upstream{User: "cicadacove"},
		Lease:     defaultLease(),
		Detection: defaultDetection(),
		Limits:    defaultLimits(),
	}
}

func defaultLease() Lease {
	return Lease{
		Duration:        units.Duration(ctlwire.DefaultLease),
		RenewEvery:      units.Duration(ctlwire.DefaultRenew),
		MaxDriftPercent: ctlwire.DefaultDriftPPM / ppmPerPercent,
	}
}

func defaultDetection() Detection {
	return Detection{
		ProbeEvery:  units.Duration(ctlwire.DefaultProbe),
		FailAfter:   units.Duration(ctlwire.DefaultSilence),
		ExpireAfter: units.Duration(ctlwire.DefaultAnnouncementTTL),
	}
}

func defaultLimits() Limits {
	return Limits{
		Callers:         10_000,
		MaxMessage:      16 * units.MiB,
		Memory:          512 * units.MiB,
		DrainDelay:      units.Duration(time.Second),
		ShutdownTimeout: units.Duration(30 * time.Second),
		IdleTransaction: units.Duration(10 * time.Second),
	}
}
