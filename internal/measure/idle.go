package measure

import (
	"context"
	"fmt"
	"net"
	"runtime"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cicadacove/cicadacove/internal/cluster"
)

// Idle is the memory that idle callers cost one entry instance.
type Idle struct {
	Callers int `json:"callers"`
	// BytesPerCaller counts heap and stacks of the whole process, which also
	// holds the callers' ends of the connections.
	BytesPerCaller float64 `json:"bytes_per_caller"`
	TotalBytes     uint64  `json:"total_bytes"`
}

// RunIdle connects callers to one entry instance and leaves them idle. It
// measures the memory at each number of callers in sizes, which must increase.
func RunIdle(ctx context.Context, sizes []int) ([]Idle, error) {
	p, err := cluster.NewProfile("selam")
	if err != nil {
		return nil, err
	}
	c, err := cluster.Start(ctx, cluster.Options{Profile: p, Seed: 1})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	base := memoryInUse()
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	var out []Idle
	for _, size := range sizes {
		for len(conns) < size {
			conn, err := connectIdle(c.Entry(0).Addr(), string(p.Groups()[0]), p.Low)
			if err != nil {
				return nil, fmt.Errorf("measure: caller %d: %w", len(conns)+1, err)
			}
			conns = append(conns, conn)
		}
		total := memoryInUse() - base
		out = append(out, Idle{Callers: size, BytesPerCaller: float64(total) / float64(size), TotalBytes: total})
	}
	return out, nil
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// connectIdle opens a session and reads the first answer. It uses as little
// memory at the caller's end as possible.
func connectIdle(addr, database, service string) (net.Conn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "idle", "database": database, "cicadacove.service": service},
	}
	msg, err := startup.Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(msg); err != nil {
		return nil, err
	}
	buf := make([]byte, 1024)
	if _, err := conn.Read(buf); err != nil {
		return nil, err
	}
	if buf[0] != 'R' {
		return nil, fmt.Errorf("session refused: %q", buf[:64])
	}
	return conn, nil
}
