package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Limits of a client.
const (
	dialLimit   = 2 * time.Second
	answerLimit = 3 * time.Second
)

// session is a client's connection to a front.
type session struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is what a front answered to a statement.
type answer struct {
	rows      []string
	signature string
	// code is the code of an error, empty after success.
	code, text string
	state      string
}

// succeeded reports whether a read, write or commit was answered with a signature.
func (a answer) succeeded() bool { return a.code == "" && a.signature != "" && a.signature != "-" }

// openSession connects to a front and opens a session for a database name.
func openSession(m *machine, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontPort), dialLimit)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, in: bufio.NewReader(conn)}
	a, err := s.exchange("STARTUP " + database)
	if err == nil && a.code != "" {
		err = fmt.Errorf("refused: %s %s", a.code, a.text)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// query sends a statement and reads its answer.
func (s *session) query(id, text string) (answer, error) {
	return s.exchange("QUERY " + id + " " + text)
}

func (s *session) exchange(line string) (answer, error) {
	if err := s.send(line); err != nil {
		return answer{}, err
	}
	return s.receive()
}

func (s *session) send(line string) error {
	if err := s.conn.SetDeadline(time.Now().Add(answerLimit)); err != nil {
		return err
	}
	_, err := s.conn.Write([]byte(line + "\r\n"))
	return err
}

func (s *session) receive() (answer, error) {
	var a answer
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		kind, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch kind {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// newID returns the id of a statement.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// putConfig sends a configuration until it is acknowledged.
func putConfig(r *record, addrs []string, body map[string]any) error {
	const limit, pause = 20 * time.Second, 200 * time.Millisecond
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		for _, addr := range addrs {
			if send(client, http.MethodPut, "http://"+addr+"/config", body) == http.StatusOK {
				r.say("configuration %v acknowledged", body["version"])
				return nil
			}
		}
	}
	return fmt.Errorf("the configuration isn't acknowledged after %v", limit)
}
