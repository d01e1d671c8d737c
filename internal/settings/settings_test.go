package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/examples"
)

func exampleText(t testing.TB) string {
	t.Helper()
	data, err := examples.Settings()
	require.NoError(t, err)
	return string(data)
}

func TestExampleIsValid(t *testing.T) {
	s, err := Parse("entry-1.toml", []byte(exampleText(t)))
	require.NoError(t, err)
	require.True(t, s.Control.Voter)
	require.Equal(t, Default().Lease, s.Lease)
}

// TestErrorsNameFileLineAndField replaces one line of the example and
// requires that the error names this line.
func TestErrorsNameFileLineAndField(t *testing.T) {
	cases := []struct{ old, new, field, reason string }{
		{`zone = "a"`, `zone = "a b"`, "instance.zone", "not a name"},
		{`zone = "a"`, `zome = "a"`, "instance.zome", "unknown setting"},
		{`zone = "a"`, `zone = 3`, "instance.zone", "string"},
		{`zone = "a"`, `zone = "a`, "syntax", ""},
		{`listen = "10.20.1.11:6432"`, `listen = "localhost:6432"`, "caller.listen", "is not an IP address with a port"},
		{`listen = "10.20.1.11:6432"`, "listen = \"10.20.1.11:6432\"\nauth = \"none\"", "caller.auth", "scram trust"},
		{`listen = "10.20.1.11:6432"`, "listen = \"10.20.1.11:6432\"\nauth = \"trust\"", "caller.auth", "loopback"},
		{`users_file = "/etc/cicadacove/users.toml"`, ``, "caller.users_file", "required when auth is scram"},
		{`tls_key = "/etc/cicadacove/caller.key"`, ``, "caller.tls_key", "belong together"},
		{`voters = ["10.20.1.11:6433"`, `voters = ["10.20.1.11"`, "peer.voters[0]", "is not an IP address with a port"},
		{`voters = ["10.20.1.11:6433"`, `voters = ["10.20.2.11:6433"`, "peer.voters", "duplicate value"},
		{`tokens_file = "/etc/cicadacove/tokens.toml"`, ``, "admin.tokens_file", "loopback"},
		{`data_dir = "/var/lib/cicadacove"`, ``, "control.data_dir", "voter is true"},
		{`[upstream]`, "[lease]\nduration = \"1s\"\nrenew_every = \"400ms\"\n[upstream]", "lease.renew_every", "third"},
		{`[upstream]`, "[lease]\nduration = \"1\"\n[upstream]", "lease.duration", "unit"},
		{`[upstream]`, "[limits]\nmax_message = \"1B\"\n[upstream]", "limits.max_message", "at least"},
		{`[upstream]`, "[limits]\nmax_message = \"lots\"\n[upstream]", "limits.max_message", "size"},
	}
	for _, tc := range cases {
		text := strings.Replace(exampleText(t), tc.old, tc.new, 1)
		require.NotEqual(t, exampleText(t), text)
		_, err := Parse("x.toml", []byte(text))
		var errs Errors
		require.ErrorAs(t, err, &errs, tc.new)
		require.Equal(t, "x.toml", errs[0].File)
		require.Equal(t, tc.field, errs[0].Field)
		require.Contains(t, errs[0].Reason, tc.reason)
		require.Equal(t, wantLine(text, tc.field), errs[0].Line, tc.new)
	}
}

// wantLine finds the line of a key by its text: the first line after the
// section's header that starts with the key, or the header if there is none.
func wantLine(text, field string) int {
	section, key, found := strings.Cut(field, ".")
	if !found {
		section, key = "instance", "zone"
	}
	key, _, _ = strings.Cut(key, "[")
	header, inside := 0, false
	for i, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "[") {
			inside = line == "["+section+"]"
			if inside {
				header = i + 1
			}
		}
		if inside && strings.HasPrefix(line, key+" =") {
			return i + 1
		}
	}
	return header
}

func TestPrintRoundTrip(t *testing.T) {
	s, err := Parse("entry-1.toml", []byte(exampleText(t)))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, Print(&out, s))
	back, err := Parse("printed", out.Bytes())
	require.NoError(t, err, out.String())
	require.Equal(t, s, back)
}

func TestEveryEntryIsDescribed(t *testing.T) {
	required := []string{}
	for _, e := range Entries(Default()) {
		require.NotEmpty(t, e.Doc, e.Key)
		require.NotEmpty(t, e.Default, e.Key)
		if e.Required {
			required = append(required, e.Key)
		}
	}
	require.Equal(t, []string{"instance.id", "instance.zone", "peer.secret_file", "peer.voters"}, required)
}

func TestReadSecretRefusesOpenAndShortFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(path, []byte("0123456789abcdef\n"), 0o600))
	secret, err := ReadSecret(path)
	require.NoError(t, err)
	require.Equal(t, "0123456789abcdef", string(secret))
	require.NoError(t, os.Chmod(path, 0o644))
	_, err = ReadSecret(path)
	require.ErrorContains(t, err, "0644")
	require.NoError(t, os.WriteFile(path, []byte("short"), 0o600))
	require.NoError(t, os.Chmod(path, 0o600))
	_, err = ReadSecret(path)
	require.ErrorContains(t, err, "5 bytes")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleText(f)))
	f.Add([]byte("[limits]\ncallers = 1e9"))
	f.Add([]byte("[[instance]]\nid.x = 3"))
	f.Add([]byte("peer = {voters = [\"::1\"]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		var out bytes.Buffer
		require.NoError(t, Print(&out, s))
		back, err := Parse("printed", out.Bytes())
		require.NoError(t, err)
		require.Equal(t, s, back)
	})
}
