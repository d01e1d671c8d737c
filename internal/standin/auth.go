package standin

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	scramSalt       = "cicadacove standin"
)

// newCredentials derives the SCRAM credentials that the server stores for the
// password.
func newCredentials(o Options) (scram.StoredCredentials, error) {
	if o.Password == "" {
		return scram.StoredCredentials{}, nil
	}
	client, err := scram.SHA256.NewClient(o.User, o.Password, "")
	if err != nil {
		return scram.StoredCredentials{}, fmt.Errorf("password: %w", err)
	}
	return client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: scramSalt, Iters: scramIterations})
}

// authenticate checks the caller's password, if the options set one.
func (s *session) authenticate() error {
	o := s.d.options
	if o.Password == "" {
		return nil
	}
	if s.params["user"] != o.User {
		return errBadPassword
	}
	if o.Cleartext {
		return s.authenticateCleartext()
	}
	return s.authenticateScram()
}

var errBadPassword = &pgError{codeBadPassword, "password authentication failed"}

func (s *session) authenticateCleartext() error {
	message, err := s.exchangeAuth(&pgproto3.AuthenticationCleartextPassword{}, pgproto3.AuthTypeCleartextPassword)
	if err != nil {
		return err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok || password.Password != s.d.options.Password {
		return errBadPassword
	}
	return nil
}

func (s *session) authenticateScram() error {
	lookup := func(string) (scram.StoredCredentials, error) { return s.d.credentials, nil }
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	message, err := s.exchangeAuth(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	first, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != scramMechanism {
		return errBadPassword
	}
	reply, err := conversation.Step(string(first.Data))
	if err != nil {
		return errBadPassword
	}
	message, err = s.exchangeAuth(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)}, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	second, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return errBadPassword
	}
	reply, err = conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() {
		return errBadPassword
	}
	s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}

// exchangeAuth sends an authentication request and returns the caller's
// response.
func (s *session) exchangeAuth(request pgproto3.BackendMessage, authType uint32) (pgproto3.FrontendMessage, error) {
	s.backend.Send(request)
	if err := s.backend.Flush(); err != nil {
		return nil, err
	}
	if err := s.backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	return s.backend.Receive()
}
