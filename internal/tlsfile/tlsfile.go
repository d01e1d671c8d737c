// Package tlsfile serves a TLS certificate from files and reloads it, without
// a restart, when the files change.
package tlsfile

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"
)

// CheckInterval is the minimum time between two checks of the files.
const CheckInterval = time.Second

// Certificate is a certificate and its key, loaded from two files. It is safe
// for concurrent use.
type Certificate struct {
	certFile, keyFile string
	now               func() time.Time

	mu        sync.Mutex
	current   *tls.Certificate
	version   version
	checkedAt time.Time
}

// version holds the modification times and sizes of the files, by which a
// change is detected.
type version struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// Load loads the files. The key must match the certificate.
func Load(certFile, keyFile string) (*Certificate, error) {
	return load(certFile, keyFile, time.Now)
}

func load(certFile, keyFile string, now func() time.Time) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, now: now, checkedAt: now()}
	v, err := c.stat()
	if err != nil {
		return nil, err
	}
	if err := c.read(v); err != nil {
		return nil, err
	}
	return c, nil
}

// Config returns a TLS configuration that serves the certificate.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{GetCertificate: c.GetCertificate, MinVersion: tls.VersionTLS12}
}

// GetCertificate returns the current certificate, for use in tls.Config. If
// new files cannot be read or do not match each other yet, it logs a warning
// and returns the previous certificate.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.checkedAt) < CheckInterval {
		return c.current, nil
	}
	c.checkedAt = now
	v, err := c.stat()
	if err == nil && v != c.version {
		err = c.read(v)
	}
	if err != nil {
		klog.Warningf("tls: keeping the previous certificate: %v", err)
	}
	return c.current, nil
}

// read loads the files. v is the version that was observed before loading.
func (c *Certificate) read(v version) error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return oops.In("tls").With("certificate", c.certFile, "key", c.keyFile).Wrapf(err, "certificate %s with key %s", c.certFile, c.keyFile)
	}
	c.current = &pair
	c.version = v
	return nil
}

func (c *Certificate) stat() (version, error) {
	cert, err := os.Stat(c.certFile)
	if err != nil {
		return version{}, err
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return version{}, err
	}
	return version{cert.ModTime(), key.ModTime(), cert.Size(), key.Size()}, nil
}
