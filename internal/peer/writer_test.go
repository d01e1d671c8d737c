package peer

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a connection that keeps the memory of its longest frame: an instance of
// 136 MB has connections to 93 others.
func TestALongFrameIsNotKept(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	go io.Copy(io.Discard, far) // ends with the connection
	w := &writer{conn: near}
	for _, size := range []int{100, 1 << 20} {
		body, err := msgpack.Marshal(make([]byte, size))
		require.NoError(t, err)
		require.NoError(t, w.write(&Frame{ID: 1, Body: body}))
		require.LessOrEqual(t, cap(w.buf), 64<<10)
	}
}
