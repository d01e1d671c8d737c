package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// Sign returns the signature of an announcement's body under the key.
func Sign(key, body []byte) string {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports whether signature is valid for body under the key. With an empty
// key it accepts every body.
func Verify(key, body []byte, signature string) bool {
	if len(key) == 0 {
		return true
	}
	return hmac.Equal([]byte(Sign(key, body)), []byte(signature))
}
