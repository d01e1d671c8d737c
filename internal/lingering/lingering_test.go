package lingering

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func pair(t *testing.T) (server, client *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	s, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close(); s.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

func TestUnreadBytesDoNotResetTheLastAnswer(t *testing.T) {
	server, client := pair(t)
	_, err := client.Write([]byte("a request that the server does not read"))
	require.NoError(t, err)
	_, err = server.Write([]byte("answer"))
	require.NoError(t, err)
	closed := make(chan error, 1)
	go func() { closed <- Close(server, 5*time.Second) }()
	got, err := io.ReadAll(client)
	require.NoError(t, err, "the connection must end without a reset")
	require.Equal(t, "answer", string(got))
	require.NoError(t, client.Close())
	require.NoError(t, <-closed)
}

func TestPeerThatStaysOpenDelaysTheCloseUpToTheLimit(t *testing.T) {
	server, _ := pair(t)
	began := time.Now()
	require.NoError(t, Close(server, 50*time.Millisecond))
	require.Less(t, time.Since(began), 5*time.Second)
}
