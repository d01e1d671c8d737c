package accept

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener is a listener whose first accepts fail.
type failingListener struct {
	net.Listener
	failures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

func TestEachContinuesAfterErrorsUntilListenerCloses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handled := make(chan net.Conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Each(&failingListener{Listener: ln, failures: 2}, "test", func(c net.Conn) { handled <- c })
	}()
	caller, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	(<-handled).Close()
	require.NoError(t, ln.Close())
	<-done
}

func TestStopDoesNotResetConnectionsInTheQueue(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var callers []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		callers = append(callers, c)
	}
	require.NoError(t, Stop(ln))
	Each(ln, "test", func(c net.Conn) {
		c.Write([]byte("refused"))
		c.Close()
	})
	for _, c := range callers {
		answer, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, "refused", string(answer))
	}
	_, err = net.Dial("tcp", ln.Addr().String())
	require.Error(t, err)
}

func TestStopEndsAWaitingListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Each(ln, "test", func(c net.Conn) { c.Close() })
	}()
	require.NoError(t, Stop(ln))
	<-done
}
