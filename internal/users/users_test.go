package users

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLoadReadsNewVerifier(t *testing.T) {
	verifier, err := NewVerifier("app", "secret")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "users.toml")
	require.NoError(t, os.WriteFile(path, []byte("[[user]]\nname = \"app\"\nverifier = \""+verifier+"\"\n"), 0o600))
	u, err := Load(path)
	require.NoError(t, err)
	c, err := u.Credentials("app")
	require.NoError(t, err)
	require.Equal(t, pbkdf2Iterations, c.Iters)
	_, err = u.Credentials("other")
	require.Error(t, err)
}

func TestLoadNamesTheField(t *testing.T) {
	cases := map[string]string{
		"[[user]]\nverifier = \"x\"":                                             "user[0].name",
		"[[user]]\nname = \"a\"\nverifier = \"x\"":                               "user[0].verifier",
		"[[user]]\nname = \"a\"\nverifier = \"SCRAM-SHA-256$10:AA==$AA==:AA==\"": "iterations",
	}
	for text, want := range cases {
		path := filepath.Join(t.TempDir(), "users.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		require.ErrorContains(t, err, want)
	}
}
