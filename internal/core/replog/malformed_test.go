package replog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestManyContactsAreReadInTime(t *testing.T) {
	s := newSim(t, 7, "a", "b", "c")
	n := s.nodes["a"]
	m := Message{Kind: MsgJoinReply, From: "z", FromAddr: "z", To: n.cfg.ID, ToAddr: "a", Reject: true}
	for i := range 50_000 {
		m.Contacts = append(m.Contacts, fmt.Sprintf("host%d:1", i))
	}
	begin := time.Now()
	n.Step(m)
	require.Less(t, time.Since(begin), time.Second)
}

// Each message comes from a node that is no member of the cluster.
func TestMalformedMessageDoesNotEndTheProcess(t *testing.T) {
	for name, change := range map[string]func(*Message){
		"heartbeat of the same term": func(m *Message) { m.Kind = MsgHeartbeat },
		"join from nobody":           func(m *Message) { m.Kind, m.From, m.FromAddr = MsgJoin, "", "" },
		"join at the leader's address": func(m *Message) {
			m.Kind, m.FromAddr = MsgJoin, m.ToAddr
		},
		"join reply":                 func(m *Message) { m.Kind, m.Contacts = MsgJoinReply, []string{"", m.ToAddr, "\x00"} },
		"append reply beyond log":    func(m *Message) { m.Kind, m.Index = MsgAppendReply, 1<<60 },
		"rejection of a huge index":  func(m *Message) { m.Kind, m.Reject, m.Index, m.Hint = MsgAppendReply, true, 1<<63, 1<<63 },
		"vote without an identity":   func(m *Message) { m.Kind, m.From = MsgVote, "" },
		"snapshot without a content": func(m *Message) { m.Kind, m.Term = MsgSnapshot, m.Term+1 },
		"snapshot without members": func(m *Message) {
			m.Kind, m.Term, m.Snapshot = MsgSnapshot, m.Term+1, &Snapshot{Index: 1 << 40, Term: 1}
		},
		"append with a gap": func(m *Message) {
			m.Kind, m.Entries = MsgAppend, []Entry{{Index: m.Index + 2, Term: m.Term}}
		},
		"append over a committed entry": func(m *Message) {
			m.Kind, m.Entries = MsgAppend, []Entry{{Index: m.Index, Term: m.Term + 1}}
		},
		"heartbeat beyond the log": func(m *Message) {
			m.Kind, m.Term, m.Commit = MsgHeartbeat, m.Term+1, 1<<60
		},
		"append of empty entries": func(m *Message) { m.Kind, m.Entries = MsgAppend, make([]Entry, 3) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newGrownCluster(t, "a", "b", "c", "d", "e")
			lead := s.mustLeader()
			m := Message{From: "z", FromAddr: "z", To: lead.cfg.ID, ToAddr: lead.addr, Cluster: lead.hard.Cluster, Term: lead.hard.Term}
			m.Index, m.LogTerm = lead.log.last(), lead.log.lastTerm()
			change(&m)
			if m.Kind == MsgAppend {
				m.Term++
			}
			require.NotPanics(t, func() { lead.Step(m); s.process(lead, 0); s.run(time.Second) })
			require.Nil(t, lead.fault)
		})
	}
}
