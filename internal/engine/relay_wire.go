package engine

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/outcome"
	"github.com/cicadacove/cicadacove/internal/core/topo"
)

// Request kinds between an instance and the holders of an upstream: a statement to run,
// and the end of a transaction.
const (
	kindRelay    = "engine.relay"
	kindRelayEnd = "engine.relay.end"
)

// relayTx names a transaction at a holder. From is unique for each run of an instance.
type relayTx struct {
	From   string `msgpack:"f"`
	Number uint64 `msgpack:"n"`
}

// relayUpstream names an upstream, with what a holder needs that doesn't know it yet.
type relayUpstream struct {
	ID    topo.UpstreamID `msgpack:"i"`
	Group topo.GroupID    `msgpack:"g"`
	Addr  string          `msgpack:"a"`
	Slots int             `msgpack:"s"`
}

func (u relayUpstream) announcement() topo.Announcement {
	return topo.Announcement{ID: u.ID, Group: u.Group, Addr: u.Addr, Slots: u.Slots}
}

// relayRequest asks a holder to run one statement.
type relayRequest struct {
	Upstream     relayUpstream `msgpack:"u"`
	Term         topo.Term     `msgpack:"t,omitempty"`
	Organisation string        `msgpack:"o,omitempty"`
	// Service is the name of the service, Rank and Target are its values.
	Service string        `msgpack:"s"`
	Rank    int           `msgpack:"r"`
	Target  time.Duration `msgpack:"g"`
	Caller  string        `msgpack:"c"`
	// Waited is the time since the request arrived at the sender, Left the time after which
	// the sender gives up. Durations don't depend on the clocks of the two instances.
	Waited time.Duration `msgpack:"w"`
	Left   time.Duration `msgpack:"l"`
	// Tx is set for a statement of a transaction. Its first one is a Begin.
	Tx     *relayTx          `msgpack:"x,omitempty"`
	Values map[string]string `msgpack:"v,omitempty"`
	// Definition is set for an Execute, and for the Begin before it.
	Definition *Definition `msgpack:"d,omitempty"`
	Statement  Statement   `msgpack:"q"`
	// Text is the text of the statement.
	Text packedText `msgpack:"p,omitempty"`
}

// size returns the bytes of the text and of the session's values.
func (r *relayRequest) size() int64 {
	size := len(r.Text)
	for name, value := range r.Values {
		size += len(name) + len(value)
	}
	return int64(size)
}

// statement returns the statement with its text.
func (r *relayRequest) statement() Statement {
	st := r.Statement
	st.Text = string(r.Text)
	return st
}

// service returns the service for admission.
func (r *relayRequest) service() contract.Service {
	return contract.Service{Name: r.Service, Rank: r.Rank, Target: r.Target}
}

// relayReply is the result of a relayed statement. Exactly one of Refusal, Lost and
// Result is set.
type relayReply struct {
	// Refusal means that the statement was not sent to the upstream.
	Refusal *relayRefusal `msgpack:"f,omitempty"`
	// Lost means that the statement was sent and its answer did not arrive.
	Lost *relayLoss `msgpack:"l,omitempty"`
	// Result is the upstream's answer, and Took the time that the upstream took for it.
	Result *Result       `msgpack:"r,omitempty"`
	Rows   []packedText  `msgpack:"w,omitempty"`
	Took   time.Duration `msgpack:"t,omitempty"`
}

// result returns the upstream's answer with its rows.
func (r *relayReply) result() Result {
	result := *r.Result
	for _, row := range r.Rows {
		result.Rows = append(result.Rows, string(row))
	}
	return result
}

func newResultReply(result Result, took time.Duration) relayReply {
	reply := relayReply{Result: &result, Took: took}
	for _, row := range result.Rows {
		reply.Rows = append(reply.Rows, packedText(row))
	}
	return reply
}

// relayRefusal says why a holder did not send a statement to the upstream.
type relayRefusal struct {
	Code       string        `msgpack:"c"`
	Reason     string        `msgpack:"r"`
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// Leaving means that the holder drains and another one should be used.
	Leaving bool `msgpack:"l,omitempty"`
	// Final means that another upstream would refuse the statement too.
	Final bool `msgpack:"f,omitempty"`
	// Unreachable means that the upstream did not respond to the holder.
	Unreachable bool `msgpack:"u,omitempty"`
}

func newRelayRefusal(o outcome.Outcome) *relayRefusal {
	return &relayRefusal{Code: o.Code, Reason: o.Reason, RetryAfter: o.RetryAfter}
}

func (r *relayRefusal) outcome() outcome.Outcome {
	return outcome.RefusedWithRetry(r.Code, r.Reason, r.RetryAfter)
}

// relayLoss says why an answer did not arrive at the holder.
type relayLoss struct {
	Reason  string `msgpack:"r"`
	Timeout bool   `msgpack:"t,omitempty"`
}
