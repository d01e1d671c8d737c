package admin

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/core/revision"
)

// tokenBytes is the length of a new token before it is hex-encoded.
const tokenBytes = 32

// tokensCheckInterval is the minimum time between two checks of the tokens file
// for changes.
const tokensCheckInterval = time.Second

// Role is the set of operations that a token permits within its team.
type Role string

// Roles in ascending order: a viewer reads; an operator also amends answers and
// switches primaries over; an admin also adds and removes contracts, removes
// upstreams and reads the audit record.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
	RoleAdmin    Role = "admin"
)

var roleOrder = []Role{RoleViewer, RoleOperator, RoleAdmin}

// Allows reports whether the role includes the permissions of the required
// role.
func (r Role) Allows(required Role) bool {
	return slices.Index(roleOrder, r) >= slices.Index(roleOrder, required)
}

// Identity is the authenticated sender of a request.
type Identity struct {
	Name string
	// Team is revision.AnyTeam for all teams.
	Team string
	Role Role
}

// CanView reports whether the identity may view the resources of a team.
func (i Identity) CanView(team string) bool { return i.Team == revision.AnyTeam || i.Team == team }

// Token is one entry of the tokens file. It holds a hash of the token, not the
// token itself.
type Token struct {
	Name   string `toml:"name"`
	Team   string `toml:"team"`
	Role   Role   `toml:"role"`
	SHA256 string `toml:"sha256"`
}

// Tokens holds the entries of the tokens file. It reloads the file when it
// changes, so that a token can be revoked without a restart. Safe for concurrent
// use.
type Tokens struct {
	path string
	now  func() time.Time

	mu        sync.Mutex
	tokens    []hashedToken
	checkedAt time.Time
	modTime   time.Time
	size      int64
}

type hashedToken struct {
	hash     []byte
	identity Identity
}

// LoadTokens reads a tokens file.
func LoadTokens(path string) (*Tokens, error) {
	t := &Tokens{path: path, now: time.Now}
	if err := t.refresh(); err != nil {
		return nil, err
	}
	t.checkedAt = t.now()
	return t, nil
}

// NewToken returns a random token and its entry for the tokens file.
func NewToken(name, team string, role Role) (token string, entry Token) {
	raw := make([]byte, tokenBytes)
	// crypto/rand.Read does not fail.
	_, _ = rand.Read(raw)
	token = hex.EncodeToString(raw)
	return token, Token{Name: name, Team: team, Role: role, SHA256: HashToken(token)}
}

// HashToken returns the hash that the tokens file stores for a token. Tokens are
// long and random, so a single round of SHA-256 is sufficient.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns the identity of the token's holder.
func (t *Tokens) Identify(token string) (Identity, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.now(); now.Sub(t.checkedAt) >= tokensCheckInterval {
		t.checkedAt = now
		if err := t.refresh(); err != nil {
			klog.Warningf("admin: cannot reload the tokens file; keeping the previous tokens: %v", err)
		}
	}
	sum := sha256.Sum256([]byte(token))
	found := Identity{}
	ok := false
	for _, h := range t.tokens {
		if subtle.ConstantTimeCompare(h.hash, sum[:]) == 1 {
			found, ok = h.identity, true
		}
	}
	return found, ok
}

// refresh reloads the file if it has changed.
func (t *Tokens) refresh() error {
	info, err := os.Stat(t.path)
	if err != nil {
		return err
	}
	if info.ModTime().Equal(t.modTime) && info.Size() == t.size {
		return nil
	}
	data, err := os.ReadFile(t.path)
	if err != nil {
		return err
	}
	tokens, err := parseTokens(data)
	if err != nil {
		return oops.In("admin").With("file", t.path).Wrapf(err, "%s", t.path)
	}
	t.tokens, t.modTime, t.size = tokens, info.ModTime(), info.Size()
	return nil
}

func parseTokens(data []byte) ([]hashedToken, error) {
	var file struct {
		Token []Token `toml:"token"`
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return nil, err
	}
	tokens := make([]hashedToken, 0, len(file.Token))
	for i, token := range file.Token {
		h, err := token.check()
		if err != nil {
			return nil, fmt.Errorf("token[%d].%w", i, err)
		}
		tokens = append(tokens, h)
	}
	return tokens, nil
}

// Check validates the entry. Its error names the first invalid field.
func (t Token) Check() error {
	_, err := t.check()
	return err
}

// check validates the entry and returns it with a decoded hash.
func (t Token) check() (hashedToken, error) {
	hash, err := hex.DecodeString(t.SHA256)
	switch {
	case t.Name == "" || len(t.Name) > revision.MaxActorBytes:
		return hashedToken{}, fmt.Errorf("name: must have 1 to %d bytes", revision.MaxActorBytes)
	case t.Team == "":
		return hashedToken{}, fmt.Errorf("team: must not be empty; %q stands for all teams", revision.AnyTeam)
	case !slices.Contains(roleOrder, t.Role):
		return hashedToken{}, fmt.Errorf("role: %q is not one of viewer, operator, admin", t.Role)
	case err != nil || len(hash) != sha256.Size:
		return hashedToken{}, fmt.Errorf("sha256: must be %d hex digits", hex.EncodedLen(sha256.Size))
	}
	return hashedToken{hash: hash, identity: Identity{Name: t.Name, Team: t.Team, Role: t.Role}}, nil
}
