// Package users reads a file with the callers' SCRAM-SHA-256 verifiers.
//
// The file is TOML with one table for each user. A verifier has the format in
// which PostgreSQL stores it:
//
//	[[user]]
//	name = "app"
//	verifier = "SCRAM-SHA-256$4096:<salt>$<stored key>:<server key>"
package users

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/xdg-go/scram"
)

const (
	saslMechanism = "SCRAM-SHA-256"
	// pbkdf2Iterations is the number of PBKDF2 iterations of a new verifier,
	// and the minimum for a stored one.
	pbkdf2Iterations = 4096
	// saltSize is the length in bytes of a new verifier's salt.
	saltSize = 16
)

// FieldError is an error in one field of the file.
type FieldError struct{ File, Field, Reason string }

// Error returns the file, the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason) }

// Users holds the users' credentials by name. It implements entry.Users.
type Users struct {
	byName map[string]scram.StoredCredentials
}

type usersFile struct {
	User []struct {
		Name     string `toml:"name"`
		Verifier string `toml:"verifier"`
	} `toml:"user"`
}

// Load reads the file. If a field is invalid, the error is a *FieldError.
func Load(path string) (*Users, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f usersFile
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	u := &Users{byName: map[string]scram.StoredCredentials{}}
	for i, item := range f.User {
		field := fmt.Sprintf("user[%d]", i)
		if item.Name == "" {
			return nil, &FieldError{path, field + ".name", "is empty"}
		}
		if _, duplicate := u.byName[item.Name]; duplicate {
			return nil, &FieldError{path, field + ".name", "is a duplicate"}
		}
		c, err := parseVerifier(item.Verifier)
		if err != nil {
			return nil, &FieldError{path, field + ".verifier", err.Error()}
		}
		u.byName[item.Name] = c
	}
	return u, nil
}

// Credentials implements entry.Users.
func (u *Users) Credentials(name string) (scram.StoredCredentials, error) {
	c, ok := u.byName[name]
	if !ok {
		return scram.StoredCredentials{}, fmt.Errorf("users: no user %q", name)
	}
	return c, nil
}

func parseVerifier(text string) (c scram.StoredCredentials, err error) {
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != saslMechanism {
		return c, fmt.Errorf("want %s$iterations:salt$stored key:server key", saslMechanism)
	}
	count, salt, ok1 := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return c, fmt.Errorf("want %s$iterations:salt$stored key:server key", saslMechanism)
	}
	if c.Iters, err = strconv.Atoi(count); err != nil || c.Iters < pbkdf2Iterations {
		return c, fmt.Errorf("iterations: want a number of %d or more", pbkdf2Iterations)
	}
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return c, fmt.Errorf("salt: %w", err)
	}
	c.Salt = string(rawSalt)
	if c.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil {
		return c, fmt.Errorf("stored key: %w", err)
	}
	if c.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil {
		return c, fmt.Errorf("server key: %w", err)
	}
	return c, nil
}

// NewVerifier returns a verifier for a password, with a random salt.
func NewVerifier(name, password string) (string, error) {
	client, err := scram.SHA256.NewClient(name, password, "")
	if err != nil {
		return "", err
	}
	salt := make([]byte, saltSize)
	rand.Read(salt)
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: pbkdf2Iterations})
	if err != nil {
		return "", err
	}
	enc := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", saslMechanism, pbkdf2Iterations, enc(salt), enc(c.StoredKey), enc(c.ServerKey)), nil
}
