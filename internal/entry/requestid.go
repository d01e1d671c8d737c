package entry

import (
	"crypto/rand"
	"encoding/hex"
)

// requestIDSize is the size in bytes of a generated request id.
const requestIDSize = 16

// newRequestID returns a random id, for a request without an id from the
// caller or for use as a nonce.
func newRequestID() string {
	var b [requestIDSize]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
