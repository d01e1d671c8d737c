package admin

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// SignatureHeader is the HTTP header with the signature of an announcement:
// the hex-encoded HMAC-SHA256 of the body.
const SignatureHeader = "Cicadacove-Signature"

// Sign returns the signature of an announcement's body.
func Sign(key, body []byte) string {
	return hex.EncodeToString(signature(key, body))
}

func signature(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)
}

// announce handles the announcement of an upstream. A replayed announcement
// has no effect, because announcements are ordered by incarnation and
// sequence number.
func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	if err := s.receiveAnnouncement(w, r); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) receiveAnnouncement(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		return asDecodeError(err)
	}
	if err := s.checkSignature(r, body); err != nil {
		return err
	}
	a, err := decodeAnnouncement(body)
	if err != nil {
		return err
	}
	return s.backends.Announcer.Announce(r.Context(), a)
}

func (s *Server) checkSignature(r *http.Request, body []byte) error {
	if len(s.options.AnnounceKey) == 0 {
		return nil
	}
	received, err := hex.DecodeString(r.Header.Get(SignatureHeader))
	if err != nil || !hmac.Equal(received, signature(s.options.AnnounceKey, body)) {
		return newError(CodeUnauthorized, "the signature in the header %s does not match the body", SignatureHeader)
	}
	return nil
}

// decodeAnnouncement decodes and validates an announcement. It ignores unknown
// fields, so that upstreams can be upgraded before entry instances.
func decodeAnnouncement(body []byte) (topo.Announcement, error) {
	var a topo.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return a, asDecodeError(err)
	}
	var errs contract.FieldErrors
	required := func(field, value string) {
		if value == "" {
			errs.Add(field, contract.ProblemMissing, "must not be empty")
		}
	}
	required("group", string(a.Group))
	required("id", string(a.ID))
	required("zone", string(a.Zone))
	if _, err := netip.ParseAddrPort(a.Addr); err != nil {
		errs.Add("addr", contract.ProblemMalformed, fmt.Sprintf("%q is not an IP address with a port", a.Addr))
	}
	if a.Role != topo.RoleReplica && a.Role != topo.RolePrimary {
		errs.Add("role", contract.ProblemUnknown, fmt.Sprintf("%q is neither replica nor primary", a.Role))
	}
	inRange := func(field string, value, highest int) {
		if value < 0 || value > highest {
			errs.Add(field, contract.ProblemOutOfRange, fmt.Sprintf("is %d, must be 0 to %d", value, highest))
		}
	}
	inRange("slots", a.Slots, topo.MaxSlots)
	inRange("connections", a.Connections, topo.MaxConnections)
	if len(errs) > 0 {
		return a, &Error{Code: CodeBadRequest, Message: "the announcement is invalid", Fields: errs}
	}
	return a, nil
}
