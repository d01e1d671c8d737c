package entry

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// saslMechanism is the only SASL mechanism that the server offers.
const saslMechanism = "SCRAM-SHA-256"

// Users looks up the callers' SCRAM-SHA-256 credentials.
type Users interface {
	// Credentials returns the stored credentials of a user, or an error if the
	// user does not exist.
	Credentials(user string) (scram.StoredCredentials, error)
}

// authenticate runs SCRAM-SHA-256 with the caller. Without Users the server
// trusts every caller.
func (c *callerSession) authenticate() error {
	if c.server.opts.Users == nil {
		return nil
	}
	// The startup message names the user; the user name inside SCRAM is
	// ignored.
	srv, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return c.server.opts.Users.Credentials(c.user)
	})
	if err != nil {
		return err
	}
	conv := srv.NewConversation()
	if err := c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}}); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	first, err := c.backend.Receive()
	if err != nil {
		return err
	}
	initial, ok := first.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != saslMechanism {
		return fmt.Errorf("entry: caller selected a SASL mechanism that was not offered")
	}
	challenge, err := conv.Step(string(initial.Data))
	if err != nil {
		return err
	}
	if err := c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	second, err := c.backend.Receive()
	if err != nil {
		return err
	}
	response, ok := second.(*pgproto3.SASLResponse)
	if !ok {
		return fmt.Errorf("entry: unexpected message %T", second)
	}
	final, err := conv.Step(string(response.Data))
	if err != nil {
		return err
	}
	if !conv.Valid() {
		return errors.New("entry: SCRAM proof is not valid")
	}
	return c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
}

func (c *callerSession) send(msg pgproto3.BackendMessage) error {
	return c.write(appendMessage(nil, msg))
}
