package node

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/admin"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/ctlwire"
	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/settings"
	"github.com/cicadacove/cicadacove/internal/telemetry"
	"github.com/cicadacove/cicadacove/internal/timeline"
	"github.com/cicadacove/cicadacove/internal/tlsfile"
	"github.com/cicadacove/cicadacove/internal/users"
	"github.com/cicadacove/cicadacove/internal/voter/disk"
)

// dataDirMode is the file mode of the directories under the data directory.
const dataDirMode = 0o700

// FromSettings returns the options of a process. It reads the files that the
// settings name, and opens the listeners and the voter's disk.
func FromSettings(s settings.Settings, version string) (Options, error) {
	o := Options{
		ID: topo.InstanceID(s.Instance.ID), Zone: topo.Zone(s.Instance.Zone), Version: version,
		Advertise: s.Peer.Advertise, Voters: s.Peer.Voters, UpstreamUser: s.Upstream.User,
		Timing: timing(s), Limits: limits(s), DrainDelay: time.Duration(s.Limits.DrainDelay),
	}
	for _, step := range []func(settings.Settings, *Options) error{readSecrets, readCallers, readAdmin, openComponents, openListeners} {
		if err := step(s, &o); err != nil {
			return Options{}, err
		}
	}
	return o, nil
}

func timing(s settings.Settings) ctlwire.Timing {
	return ctlwire.Timing{
		Lease:           time.Duration(s.Lease.Duration),
		Renew:           time.Duration(s.Lease.RenewEvery),
		DriftPPM:        int64(s.Lease.MaxDriftPercent * 10_000),
		Probe:           time.Duration(s.Detection.ProbeEvery),
		Silence:         time.Duration(s.Detection.FailAfter),
		AnnouncementTTL: time.Duration(s.Detection.ExpireAfter),
	}
}

func limits(s settings.Settings) entry.Limits {
	l := entry.DefaultLimits()
	l.Callers = s.Limits.Callers
	l.MaxMessage = int(s.Limits.MaxMessage)
	l.Memory = int64(s.Limits.Memory)
	l.IdleTransaction = time.Duration(s.Limits.IdleTransaction)
	return l
}

func readSecrets(s settings.Settings, o *Options) error {
	secret, err := settings.ReadSecret(s.Peer.SecretFile)
	if err != nil {
		return oops.In("settings").Wrapf(err, "peer.secret_file")
	}
	o.PeerSecret = secret
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("session token"))
	o.TokenKey = mac.Sum(nil)
	if s.Upstream.PasswordFile != "" {
		if o.UpstreamPassword, err = settings.ReadPassword(s.Upstream.PasswordFile); err != nil {
			return oops.In("settings").Wrapf(err, "upstream.password_file")
		}
	}
	if s.Upstream.AnnounceKeyFile != "" {
		if o.AdminServer.AnnounceKey, err = settings.ReadSecret(s.Upstream.AnnounceKeyFile); err != nil {
			return oops.In("settings").Wrapf(err, "upstream.announce_key_file")
		}
	}
	return nil
}

func readCallers(s settings.Settings, o *Options) error {
	if s.Caller.Auth == settings.AuthTrust {
		klog.Warning("node: every caller is trusted, because caller.auth is trust")
	} else {
		u, err := users.Load(s.Caller.UsersFile)
		if err != nil {
			return oops.In("settings").Wrapf(err, "caller.users_file")
		}
		o.Users = u
	}
	if s.Caller.TLSCert == "" {
		return nil
	}
	cert, err := tlsfile.Load(s.Caller.TLSCert, s.Caller.TLSKey)
	if err != nil {
		return oops.In("settings").Wrapf(err, "caller.tls_cert")
	}
	o.TLS = &tls.Config{GetCertificate: cert.GetCertificate, MinVersion: tls.VersionTLS12}
	return nil
}

func readAdmin(s settings.Settings, o *Options) error {
	if s.Admin.TokensFile != "" {
		tokens, err := admin.LoadTokens(s.Admin.TokensFile)
		if err != nil {
			return oops.In("settings").Wrapf(err, "admin.tokens_file")
		}
		o.AdminServer.Tokens = tokens
	}
	if s.Admin.TLSCert == "" {
		return nil
	}
	cert, err := tlsfile.Load(s.Admin.TLSCert, s.Admin.TLSKey)
	if err != nil {
		return oops.In("settings").Wrapf(err, "admin.tls_cert")
	}
	o.AdminServer.Certificate = cert
	return nil
}

// openComponents opens the voter's disk, the metrics and the timeline.
func openComponents(s settings.Settings, o *Options) error {
	var err error
	if o.Telemetry, err = telemetry.New(); err != nil {
		return err
	}
	timelineDir := ""
	if s.Control.Voter {
		store, err := disk.Open(filepath.Join(s.Control.DataDir, "voter"))
		if err != nil {
			return oops.In("settings").Wrapf(err, "control.data_dir")
		}
		o.Store = store
		timelineDir = filepath.Join(s.Control.DataDir, "timeline")
		if err := os.MkdirAll(timelineDir, dataDirMode); err != nil {
			return oops.In("settings").Wrapf(err, "control.data_dir")
		}
	}
	o.Recorder, err = timeline.New(s.Instance.ID, timeline.Options{Folder: timelineDir})
	return err
}

func openListeners(s settings.Settings, o *Options) error {
	for _, l := range []struct {
		field, addr string
		dest        *net.Listener
	}{
		{"caller.listen", s.Caller.Listen, &o.Callers},
		{"peer.listen", s.Peer.Listen, &o.Peers},
		{"admin.listen", s.Admin.Listen, &o.Admin},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return oops.In("settings").Wrapf(err, "%s", l.field)
		}
		*l.dest = ln
	}
	return nil
}
