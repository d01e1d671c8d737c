package settings

import (
	"bytes"
	"fmt"
	"os"
)

// MinSecretBytes is the minimum length of a secret that ReadSecret accepts.
const MinSecretBytes = 16

// groupOtherMask selects the permission bits of the group and of other users.
const groupOtherMask = 0o077

// ReadSecret reads a shared secret from a file and trims the white space
// around it. Only the owner may have access to the file.
func ReadSecret(path string) ([]byte, error) {
	secret, err := readPrivate(path)
	if err != nil {
		return nil, err
	}
	if len(secret) < MinSecretBytes {
		return nil, fmt.Errorf("%s: the secret has %d bytes, at least %d are needed", path, len(secret), MinSecretBytes)
	}
	return secret, nil
}

// ReadPassword is like ReadSecret, but accepts a password of any length.
func ReadPassword(path string) (string, error) {
	secret, err := readPrivate(path)
	return string(secret), err
}

func readPrivate(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&groupOtherMask != 0 {
		return nil, fmt.Errorf("%s: mode %04o gives other users access to the secret, want 0600", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return bytes.TrimSpace(data), nil
}
