// Package session implements read-your-writes consistency for callers'
// sessions: signed tokens that carry a session's latest write, the choice of
// the entry instance that tracks a session identified only by its id, and the
// registry in which that instance stores the latest writes.
//
// The package does no I/O and reads no clock; time is an argument.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strings"

	"github.com/cicadacove/cicadacove/internal/core/topo"
)

const (
	// tokenVersion is the first byte of a token.
	tokenVersion = 1
	// macSize is the length in bytes of a token's truncated HMAC-SHA256.
	macSize = 16
	// MaxTokenLength bounds the text of a token in bytes.
	MaxTokenLength = 512
)

// Errors returned by Signer.Open. For each of them the request is refused and
// has not run.
var (
	ErrTokenMalformed  = errors.New("session token: malformed")
	ErrTokenSignature  = errors.New("session token: signature does not match")
	ErrTokenWrongGroup = errors.New("session token: belongs to another database group")
)

// Token identifies the latest write of a session in one group.
type Token struct {
	Group topo.GroupID
	Point topo.Point
}

// Signer encodes and signs tokens, and verifies and decodes them. All entry
// instances share the key.
type Signer struct{ key []byte }

// NewSigner returns a signer that uses the key.
func NewSigner(key []byte) *Signer { return &Signer{key: key} }

// Sign returns the signed text of a token. The text can be used as a startup
// parameter.
func (s *Signer) Sign(t Token) string {
	payload := append([]byte{tokenVersion}, t.Point.String()+"|"+string(t.Group)...)
	return base64.RawURLEncoding.EncodeToString(append(s.mac(payload), payload...))
}

// Verify checks the text of a token and returns the token, which must belong
// to group.
func (s *Signer) Verify(text string, group topo.GroupID) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, ErrTokenMalformed
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) <= macSize+1 {
		return Token{}, ErrTokenMalformed
	}
	mac, payload := data[:macSize], data[macSize:]
	if !hmac.Equal(mac, s.mac(payload)) {
		return Token{}, ErrTokenSignature
	}
	return parsePayload(payload, group)
}

func parsePayload(payload []byte, group topo.GroupID) (Token, error) {
	if payload[0] != tokenVersion {
		return Token{}, ErrTokenMalformed
	}
	text, name, found := strings.Cut(string(payload[1:]), "|")
	if !found {
		return Token{}, ErrTokenMalformed
	}
	point, err := topo.ParsePoint(text)
	if err != nil {
		return Token{}, ErrTokenMalformed
	}
	if topo.GroupID(name) != group {
		return Token{}, ErrTokenWrongGroup
	}
	return Token{Group: group, Point: point}, nil
}

func (s *Signer) mac(payload []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(payload)
	return h.Sum(nil)[:macSize]
}
