package tlsfile

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writePair writes a self-signed certificate with the given serial number, and
// sets the modification times of the files.
func writePair(t *testing.T, certFile, keyFile string, serial int64, at time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, NotAfter: at.AddDate(1, 0, 0)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, certFile, "CERTIFICATE", cert, at)
	writePEM(t, keyFile, "EC PRIVATE KEY", der, at)
}

func writePEM(t *testing.T, path, kind string, der []byte, at time.Time) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	require.NoError(t, os.Chtimes(path, at, at))
}

func TestChangedFilesAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "crt"), filepath.Join(dir, "key")
	clock := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	writePair(t, certFile, keyFile, 1, clock)
	c, err := load(certFile, keyFile, func() time.Time { return clock })
	require.NoError(t, err)
	serial := func() int64 {
		pair, err := c.GetCertificate(nil)
		require.NoError(t, err)
		return pair.Leaf.SerialNumber.Int64()
	}

	writePair(t, certFile, keyFile, 2, clock.Add(time.Minute))
	require.EqualValues(t, 1, serial(), "the files must not be checked again within CheckInterval")
	clock = clock.Add(CheckInterval)
	require.EqualValues(t, 2, serial())

	require.NoError(t, os.WriteFile(keyFile, []byte("half a key"), 0o600))
	clock = clock.Add(CheckInterval)
	require.EqualValues(t, 2, serial(), "an invalid pair must not replace the previous certificate")
	writePair(t, certFile, keyFile, 3, clock.Add(time.Hour))
	clock = clock.Add(CheckInterval)
	require.EqualValues(t, 3, serial())
}

func TestLoadNamesTheFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "missing.crt"), "k")
	require.ErrorContains(t, err, "missing.crt")
}
