package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"time"
)

const nonceBytes = 16

// ErrWrongSecret means that the proof of the other side does not match the
// secret.
var ErrWrongSecret = errors.New("peer: the other side has a different secret")

func proof(secret []byte, role string, a, b []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(a)
	mac.Write(b)
	return mac.Sum(nil)
}

// clientHandshake sends a nonce, checks the proof of the server and sends the
// proof of the client.
func clientHandshake(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	localNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(localNonce); err != nil {
		return err
	}
	if _, err := conn.Write(localNonce); err != nil {
		return err
	}
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return err
	}
	remoteNonce := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], proof(secret, "server", localNonce, remoteNonce)) {
		return ErrWrongSecret
	}
	if _, err := conn.Write(proof(secret, "client", remoteNonce, localNonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func serverHandshake(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	remoteNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, remoteNonce); err != nil {
		return err
	}
	localNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(localNonce); err != nil {
		return err
	}
	if _, err := conn.Write(append(localNonce, proof(secret, "server", remoteNonce, localNonce)...)); err != nil {
		return err
	}
	reply := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return err
	}
	if !hmac.Equal(reply, proof(secret, "client", localNonce, remoteNonce)) {
		return ErrWrongSecret
	}
	return conn.SetDeadline(time.Time{})
}
