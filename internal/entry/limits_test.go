package entry

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/clientbudget"
)

// pieces is a connection that delivers its bytes in random pieces.
type pieces struct {
	net.Conn
	rest []byte
	rng  *rand.Rand
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.rest[:min(len(p.rest), 1+p.rng.IntN(3000))])
	p.rest = p.rest[n:]
	return n, nil
}

func encode(t *testing.T, msgs ...pgproto3.FrontendMessage) []byte {
	var buf []byte
	for _, msg := range msgs {
		next, err := msg.Encode(buf)
		require.NoError(t, err)
		buf = next
	}
	return buf
}

func newTestAccount(t *testing.T) *clientbudget.Account {
	account, ok := clientbudget.New(clientbudget.Options{Memory: 512 << 20}).Open("test", "caller", func() {})
	require.True(t, ok)
	return account
}

// Guards against messages that are cut or lost, however they arrive: a startup after a
// request for encryption, short and long messages.
func TestMessageReaderPassesAllMessagesOn(t *testing.T) {
	long := strings.Repeat("v", 300_000)
	sent := encode(t, &pgproto3.SSLRequest{}, &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "u"}},
		&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Parse{Name: "s", Query: long}, &pgproto3.Sync{}, &pgproto3.Query{String: long}, &pgproto3.Terminate{})
	for seed := range uint64(50) {
		reader := newMessageReader(&pieces{rest: bytes.Clone(sent), rng: rand.New(rand.NewPCG(seed, 0))}, newTestAccount(t), 16<<20)
		backend := pgproto3.NewBackend(reader, io.Discard)
		for range 2 {
			_, err := backend.ReceiveStartupMessage()
			require.NoError(t, err)
		}
		var got []byte
		for range 5 {
			msg, err := backend.Receive()
			require.NoError(t, err)
			require.False(t, reader.inMessage(), "the reader is behind or ahead")
			got = append(got, encode(t, msg)...)
		}
		require.True(t, bytes.HasSuffix(sent, got))
		require.NotEmpty(t, got)
	}
}

// Guards against memory that is reserved after a message was read, or not at all.
func TestMessageReaderReservesBeforeItReads(t *testing.T) {
	account, ok := clientbudget.New(clientbudget.Options{Memory: 10 << 20}).Open("test", "caller", func() {})
	require.True(t, ok)
	header := binary.BigEndian.AppendUint32([]byte{'Q'}, 4+2<<20)
	reader := newMessageReader(&pieces{rest: header, rng: rand.New(rand.NewPCG(1, 1))}, account, 16<<20)
	reader.typed = true
	_, err := pgproto3.NewBackend(reader, io.Discard).Receive()
	require.ErrorIs(t, err, clientbudget.ErrShort, "three copies of 2 MiB don't fit into 3 MiB")
}

// Guards against many short messages of one unit that together exceed the budget.
func TestMessageReaderReservesShortMessages(t *testing.T) {
	account, ok := clientbudget.New(clientbudget.Options{Memory: 10 << 20}).Open("test", "caller", func() {})
	require.True(t, ok)
	unit := bytes.Repeat(encode(t, &pgproto3.Bind{PreparedStatement: strings.Repeat("s", 500)}), 4000)
	reader := newMessageReader(&pieces{rest: unit, rng: rand.New(rand.NewPCG(1, 1))}, account, 16<<20)
	reader.typed = true
	backend := pgproto3.NewBackend(reader, io.Discard)
	var err error
	for range 4000 {
		if _, err = backend.Receive(); err != nil {
			break
		}
	}
	require.ErrorIs(t, err, clientbudget.ErrShort)
}

func TestEarlier(t *testing.T) {
	a, b := time.Unix(1, 0), time.Unix(2, 0)
	require.Equal(t, a, earlier(a, b))
	require.Equal(t, a, earlier(b, a))
	require.Equal(t, a, earlier(a, time.Time{}))
	require.Equal(t, a, earlier(time.Time{}, a))
	require.Zero(t, earlier(time.Time{}, time.Time{}))
}
