package node

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cicadacove/cicadacove/internal/peer"
	"github.com/cicadacove/cicadacove/internal/voter"
)

const (
	kindVoterMessage = "voter.message"
	// maxQueuedMessages is the maximum number of messages queued for one destination.
	// When the queue is full, the transport drops further messages.
	maxQueuedMessages = 256
	// sendTimeout bounds the time to connect to a destination and send it a
	// message.
	sendTimeout = time.Second
)

// transport sends the messages of the replicated log. It implements
// voter.Transport.
type transport struct {
	ctx    context.Context
	client *peer.Client

	mu     sync.Mutex
	queues map[string]chan voter.Message
}

// NewTransport returns a transport that sends a voter's messages through the
// client. Its goroutines end with ctx.
func NewTransport(ctx context.Context, client *peer.Client) *transport {
	return &transport{ctx: ctx, client: client, queues: map[string]chan voter.Message{}}
}

// Send implements voter.Transport.
func (t *transport) Send(to string, m voter.Message) {
	t.mu.Lock()
	q, ok := t.queues[to]
	if !ok {
		q = make(chan voter.Message, maxQueuedMessages)
		t.queues[to] = q
		go t.run(to, q)
	}
	t.mu.Unlock()
	select {
	case q <- m:
	default:
		klog.V(2).Infof("node: dropped a message to voter %s: the send queue is full", to)
	}
}

func (t *transport) run(to string, q chan voter.Message) {
	for {
		select {
		case m := <-q:
			t.send(to, m)
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *transport) send(to string, m voter.Message) {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	if err := peer.Notify(ctx, t.client, to, kindVoterMessage, m); err != nil {
		klog.V(3).Infof("node: could not send a message to voter %s: %v", to, err)
	}
}

// HandleVoterMessages delivers the messages that the server receives to the voter.
func HandleVoterMessages(s *peer.Server, v *voter.Voter) {
	peer.Handle(s, kindVoterMessage, func(_ context.Context, m voter.Message) (struct{}, error) {
		v.Deliver(m)
		return struct{}{}, nil
	})
}
