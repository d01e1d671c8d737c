// Package requestid defines the table in which each database stores the ids of
// the requests that ran, and the SQL statements on that table.
//
// The transaction of a request writes its row, so the row is in the state done
// if and only if the request took effect. A cancelled row prevents a request
// whose answer was lost from ever taking effect; a resend may take over the row.
//
// The package does no I/O; times and nonces are arguments.
package requestid

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Create is the statement that creates the table.
const Create = "CREATE TABLE IF NOT EXISTS cicadacove_request (id TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, state TEXT NOT NULL, answer TEXT, created_at BIGINT NOT NULL)"

const (
	// Retention is the time for which a request id is stored.
	Retention = 24 * time.Hour
	// MaxStoredBytes bounds the length of an answer that is stored for resends.
	MaxStoredBytes = 64 << 10
)

// State is the state of a row.
type State string

// States of a row.
const (
	Done      State = "done"
	Cancelled State = "cancelled"
)

// ErrUnknown means that the id is not stored.
var ErrUnknown = errors.New("request id: not stored")

// Row is the stored row of a request id.
type Row struct {
	State State
	// Fingerprint is the fingerprint of the request, or the nonce of a
	// cancelled row.
	Fingerprint string
	// Stored is the answer as Encode returned it, empty if it was too long.
	Stored string
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// Claim returns the statement that inserts the row of a request. It affects no
// row if the request id already has one.
func Claim(id, fingerprint string, now time.Time) string {
	return fmt.Sprintf("INSERT INTO cicadacove_request (id, fingerprint, state, created_at) VALUES (%s, %s, '%s', %d) ON CONFLICT (id) DO NOTHING",
		quote(id), quote(fingerprint), Done, now.Unix())
}

// TakeOver returns the statement that claims a row that was cancelled under the
// nonce. It affects no row if the request has run or has been cancelled again
// since, so a COMMIT of an earlier take-over that is still in flight has no
// effect.
func TakeOver(id, fingerprint, nonce string) string {
	return fmt.Sprintf("UPDATE cicadacove_request SET state = '%s', fingerprint = %s WHERE id = %s AND state = '%s' AND fingerprint = %s",
		Done, quote(fingerprint), quote(id), Cancelled, quote(nonce))
}

// Claimed reports whether the command tag of Claim or TakeOver shows that a row
// was affected.
func Claimed(tag string) bool { return tag == "INSERT 0 1" || tag == "UPDATE 1" }

// Cancel returns the statement that inserts a cancelled row, or replaces the
// nonce of a cancelled one. It affects no row if the request has run.
func Cancel(id, nonce string, now time.Time) string {
	return fmt.Sprintf("INSERT INTO cicadacove_request (id, fingerprint, state, created_at) VALUES (%s, %s, '%s', %d)"+
		" ON CONFLICT (id) DO UPDATE SET fingerprint = excluded.fingerprint WHERE cicadacove_request.state = '%s'",
		quote(id), quote(nonce), Cancelled, now.Unix(), Cancelled)
}

// LookUp returns the query for the row of a request.
func LookUp(id string) string {
	return "SELECT state, fingerprint, COALESCE(answer, '') FROM cicadacove_request WHERE id = " + quote(id)
}

// ParseRow parses the result of LookUp. It returns ErrUnknown if there is no row.
func ParseRow(rows [][]string) (Row, error) {
	if len(rows) != 1 || len(rows[0]) != 3 {
		return Row{}, ErrUnknown
	}
	return Row{State(rows[0][0]), rows[0][1], rows[0][2]}, nil
}

// StoreAnswer returns the statement that adds the answer to the row of a request.
func StoreAnswer(id, stored string) string {
	return "UPDATE cicadacove_request SET answer = " + quote(stored) + " WHERE id = " + quote(id)
}

// Purge returns the statement that deletes the rows past their retention.
func Purge(now time.Time) string {
	return fmt.Sprintf("DELETE FROM cicadacove_request WHERE created_at < %d", now.Add(-Retention).Unix())
}

// Encode encodes an answer for storage in its row, together with the shape of
// the unit (see unit.Unit.Shape). An answer that is too long yields "".
func Encode(shape string, body []byte) string {
	if len(body) > MaxStoredBytes {
		return ""
	}
	return shape + ":" + base64.StdEncoding.EncodeToString(body)
}

// Decode decodes a stored answer for a unit of the given shape. ok is false if
// the answer was not stored or belongs to a unit of another shape.
func Decode(shape, stored string) (body []byte, ok bool) {
	have, text, found := strings.Cut(stored, ":")
	if !found || have != shape {
		return nil, false
	}
	body, err := base64.StdEncoding.DecodeString(text)
	return body, err == nil
}
