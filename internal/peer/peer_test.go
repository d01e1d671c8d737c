package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/internal/timeline"
)

type number struct{ N int }

func startServer(t *testing.T, secret string) string {
	t.Helper()
	s := NewServer(Options{Secret: []byte(secret)})
	Handle(s, "double", func(_ context.Context, req number) (number, error) {
		if req.N < 0 {
			return number{}, errors.New("n: negative")
		}
		return number{req.N * 2}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

func TestCall(t *testing.T) {
	addr := startServer(t, "s")
	c := NewClient(Options{Secret: []byte("s")})
	defer c.Close()
	for i := range 50 {
		got, err := Call[number](t.Context(), c, addr, "double", number{i})
		require.NoError(t, err)
		require.Equal(t, 2*i, got.N)
	}
	_, err := Call[number](t.Context(), c, addr, "double", number{-1})
	require.ErrorContains(t, err, "n: negative")
	_, err = Call[number](t.Context(), c, addr, "triple", number{1})
	require.ErrorContains(t, err, `unknown request kind "triple"`)
}

func TestCallRefusesAWrongSecret(t *testing.T) {
	addr := startServer(t, "right")
	c := NewClient(Options{Secret: []byte("wrong")})
	defer c.Close()
	_, err := Call[number](t.Context(), c, addr, "double", number{1})
	require.ErrorIs(t, err, ErrWrongSecret)
}

func TestReadFrameNamesTheField(t *testing.T) {
	cases := map[string][]byte{
		"length": {0xff, 0xff, 0xff, 0xff},
		"body":   {0, 0, 0, 1, 0xc1},
	}
	for field, data := range cases {
		_, err := ReadFrame(bytes.NewReader(data))
		var frameErr *FrameError
		require.ErrorAs(t, err, &frameErr)
		require.Equal(t, field, frameErr.Field)
	}
}

// A malformed frame makes the server close that connection and no other.
func TestServerSurvivesAMalformedFrame(t *testing.T) {
	addr := startServer(t, "s")
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, clientHandshake(conn, []byte("s")))
	_, err = conn.Write([]byte{0xff, 0xff, 0xff, 0xff})
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)

	c := NewClient(Options{Secret: []byte("s")})
	defer c.Close()
	got, err := Call[number](t.Context(), c, addr, "double", number{4})
	require.NoError(t, err)
	require.Equal(t, 8, got.N)
}

func FuzzReadFrame(f *testing.F) {
	valid, err := AppendFrame(nil, &Frame{ID: 1, Kind: "k", Body: []byte{0x01}})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		out, err := AppendFrame(nil, &frame)
		require.NoError(t, err)
		decoded, err := ReadFrame(bytes.NewReader(out))
		require.NoError(t, err)
		require.Equal(t, frame, decoded)
	})
}

// TestCallOrdersTheEventsOfBothSides makes a call to a server whose clock is
// behind that of the client.
func TestCallOrdersTheEventsOfBothSides(t *testing.T) {
	recorder := func(process string, now int64) *timeline.Recorder {
		r, err := timeline.New(process, timeline.Options{Now: func() time.Time { return time.UnixMicro(now) }})
		require.NoError(t, err)
		return r
	}
	ahead, behind := recorder("e1", 9000), recorder("e2", 1000)
	s := NewServer(Options{Clock: behind})
	Handle(s, "note", func(_ context.Context, req number) (number, error) {
		behind.Record(timeline.PartControl, timeline.ConfigAccepted, timeline.Fields{})
		return req, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(ln)
	defer s.Close()
	c := NewClient(Options{Clock: ahead})
	defer c.Close()
	ahead.Record(timeline.PartAgent, timeline.ProcessStarted, timeline.Fields{})
	_, err = Call[number](t.Context(), c, ln.Addr().String(), "note", number{1})
	require.NoError(t, err)
	ahead.Record(timeline.PartAgent, timeline.ConfigActive, timeline.Fields{})
	var kinds []timeline.Kind
	for _, e := range timeline.Merge(ahead.Excerpt(timeline.Filter{}).Events, behind.Excerpt(timeline.Filter{}).Events) {
		kinds = append(kinds, e.Kind)
	}
	require.Equal(t, []timeline.Kind{timeline.ProcessStarted, timeline.ConfigAccepted, timeline.ConfigActive}, kinds)
}

// Guards against a reply that has arrived and is lost since the connection is closed
// after it.
func TestReplyBeforeTheEndOfTheConnectionIsDelivered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if serverHandshake(conn, nil) != nil {
					return
				}
				if f, err := ReadFrame(conn); err == nil {
					_ = (&writer{conn: conn}).write(&Frame{ID: f.ID, Body: f.Body})
				}
			}()
		}
	}()
	for range 300 {
		c := NewClient(Options{})
		rep, err := Call[number](t.Context(), c, ln.Addr().String(), "echo", number{3})
		c.Close()
		require.NoError(t, err)
		require.Equal(t, number{3}, rep)
	}
}
