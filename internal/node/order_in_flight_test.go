package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/entry"
	"github.com/cicadacove/cicadacove/internal/voter/disk"
)

// Guards against an operator's order that is cut as the instance stops.
func TestStopAnswersOrdersInFlight(t *testing.T) {
	d := &deployment{t: t}
	store, err := disk.Open(t.TempDir())
	require.NoError(t, err)
	defer store.Close()
	peers := d.listen("127.0.0.1:0")
	n, err := Start(t.Context(), Options{
		ID: "entry-0", Zone: "a", Voters: []string{peers.Addr().String()}, Store: store,
		Callers: d.listen("127.0.0.1:0"), Peers: peers, Admin: d.listen("127.0.0.1:0"),
		PeerSecret: []byte("0123456789abcdef"), TokenKey: []byte("0123456789abcdef"), Limits: entry.DefaultLimits(),
	})
	require.NoError(t, err)
	defer n.Kill()
	conn, err := net.Dial("tcp", n.AdminAddr())
	require.NoError(t, err)
	defer conn.Close()
	const body = `{"upstream":"a"}`
	_, err = fmt.Fprintf(conn, "POST /v1/groups/g/remove HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:5])
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Shutdown(ctx) }()
	for err == nil {
		var probe net.Conn
		if probe, err = net.Dial("tcp", n.AdminAddr()); err == nil {
			probe.Close()
			time.Sleep(10 * time.Millisecond)
		}
	}
	_, err = conn.Write([]byte(body[5:]))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, <-ended)
}
