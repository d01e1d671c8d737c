package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// request is one statement of a client and how it ended.
type request struct {
	id, text string
	entry    int
	sentAt   time.Time
	endedAt  time.Time
	// answer is the last message before READY, empty if the connection ended
	// before it.
	answer string
}

// answered reports whether the client got a complete answer.
func (q request) answered() bool { return q.answer != "" }

// requestLog holds the requests of all clients.
type requestLog struct {
	run *run

	mu   sync.Mutex
	list []request
}

func (l *requestLog) add(q request) {
	outcome := q.answer
	if !q.answered() {
		outcome = "the connection ended without a complete answer"
	}
	l.run.record.printf("client: %s %q at front-%d, sent %.3f s before: %s", q.id, q.text, q.entry+1, q.endedAt.Sub(q.sentAt).Seconds(), outcome)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, q)
}

func (l *requestLog) all() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]request{}, l.list...)
}

// session is a client's connection to an entry instance.
type session struct {
	conn  net.Conn
	in    *bufio.Reader
	entry int
}

const (
	connectLimit = 2 * time.Second
	answerLimit  = 4 * time.Second
)

var errRefused = errors.New("the session is refused")

func openSession(r *run, entry int, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", hostPort(r.ip(kindEntry, entry), portCallers), connectLimit)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, in: bufio.NewReader(conn), entry: entry}
	if err := conn.SetDeadline(time.Now().Add(connectLimit)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s u%04x\r\n", database, rand.IntN(1<<16)); err != nil {
		conn.Close()
		return nil, err
	}
	line, err := readMessage(s.in)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%w: %s", errRefused, line)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// query sends one statement and waits for its answer.
func (s *session) query(text string) request {
	q := request{id: fmt.Sprintf("%016x", rand.Uint64()), text: text, entry: s.entry, sentAt: time.Now()}
	defer func() { q.endedAt = time.Now() }()
	if err := s.conn.SetDeadline(q.sentAt.Add(answerLimit)); err != nil {
		return q
	}
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", q.id, text); err != nil {
		return q
	}
	last := ""
	for {
		line, err := readMessage(s.in)
		if err != nil {
			return q
		}
		if strings.HasPrefix(line, "READY") {
			q.answer = last
			return q
		}
		last = line
	}
}

// repeat sends a statement again and again, on a new session after each cut,
// until the channel is closed.
func repeat(r *run, log *requestLog, entry int, database, text string, pause time.Duration, until <-chan struct{}) {
	for {
		s, err := openSession(r, entry, database)
		for err == nil {
			select {
			case <-until:
				s.conn.Close()
				return
			case <-time.After(pause):
			}
			q := s.query(text)
			q.endedAt = time.Now()
			log.add(q)
			if !q.answered() {
				break
			}
		}
		if s != nil {
			s.conn.Close()
		}
		select {
		case <-until:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
