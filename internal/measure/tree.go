package measure

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadacove/cicadacove/internal/peer"
)

const (
	kindRelay = "measure.relay"
	// treeRounds is the number of messages sent through each tree.
	treeRounds = 20
	// treePayloadSize is the size of one configuration change, in bytes.
	treePayloadSize = 221
)

// Tree is the cost of sending one message to all instances through a tree. The
// root is not one of the instances.
type Tree struct {
	Instances int `json:"instances"`
	FanOut    int `json:"fan_out"`
	Depth     int `json:"depth"`
	// RootOut is the number of bytes that the root sends per message, and RootIn
	// that of the acknowledgements.
	RootOut float64 `json:"root_out_bytes"`
	RootIn  float64 `json:"root_in_bytes"`
	// P50Micros and MaxMicros are the times from the send at the root until all
	// instances have acknowledged.
	P50Micros int64 `json:"p50_us"`
	MaxMicros int64 `json:"max_us"`
	// CPUMicros is the processor time per message and instance.
	CPUMicros float64 `json:"cpu_us_per_instance"`
	// LargestSubtree counts the instances that miss the message when one
	// instance below the root has failed.
	LargestSubtree int `json:"largest_subtree"`
}

// relayMessage is a message for the instances From to To-1. Its receiver is
// instance From.
type relayMessage struct {
	From    int    `msgpack:"f"`
	To      int    `msgpack:"t"`
	FanOut  int    `msgpack:"n"`
	Payload []byte `msgpack:"p"`
}

type relayReply struct{}

// relayServers are the instances, which relay messages to each other.
type relayServers struct {
	addrs   []string
	servers []*peer.Server
	clients []*peer.Client
	running errgroup.Group
}

// RunTree measures each fan-out with each number of instances. With a fan-out of
// 0 the root sends to every instance itself.
func RunTree(ctx context.Context, instances, fanOuts []int) ([]Tree, error) {
	var out []Tree
	for _, n := range instances {
		rows, err := measureTrees(ctx, n, fanOuts)
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
	}
	return out, nil
}

func measureTrees(ctx context.Context, instances int, fanOuts []int) ([]Tree, error) {
	r := &relayServers{}
	defer r.close()
	if err := r.start(instances); err != nil {
		return nil, err
	}
	var out []Tree
	for _, fanOut := range fanOuts {
		if fanOut == 0 {
			fanOut = instances
		}
		row, err := r.measure(ctx, fanOut)
		if err != nil {
			return nil, err
		}
		out = append(out, *row)
	}
	return out, nil
}

func (r *relayServers) start(count int) error {
	var t traffic
	for range count {
		l, err := t.listen()
		if err != nil {
			return err
		}
		server := peer.NewServer(peer.Options{Secret: []byte(peerSecret)})
		client := peer.NewClient(peer.Options{Secret: []byte(peerSecret)})
		peer.Handle(server, kindRelay, func(ctx context.Context, m relayMessage) (relayReply, error) {
			m.From++
			return relayReply{}, r.relay(ctx, client, m)
		})
		r.addrs = append(r.addrs, l.Addr().String())
		r.servers, r.clients = append(r.servers, server), append(r.clients, client)
		r.running.Go(func() error { return server.Serve(l) })
	}
	return nil
}

// relay splits the message's range of instances and sends the message to the
// first instance of each part.
func (r *relayServers) relay(ctx context.Context, c *peer.Client, m relayMessage) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, part := range splitRange(m.From, m.To, m.FanOut) {
		next := m
		next.From, next.To = part[0], part[1]
		g.Go(func() error {
			_, err := peer.Call[relayReply](ctx, c, r.addrs[next.From], kindRelay, next)
			return err
		})
	}
	return g.Wait()
}

// splitRange splits a range into at most n ranges whose sizes differ by at most
// one.
func splitRange(from, to, n int) [][2]int {
	n = min(n, to-from)
	var out [][2]int
	for i := range n {
		out = append(out, [2]int{from + (to-from)*i/n, from + (to-from)*(i+1)/n})
	}
	return out
}

// depth returns the number of messages on the longest path to an instance.
func depth(from, to, n int) int {
	deepest := 0
	for _, p := range splitRange(from, to, n) {
		deepest = max(deepest, 1+depth(p[0]+1, p[1], n))
	}
	return deepest
}

func (r *relayServers) measure(ctx context.Context, fanOut int) (*Tree, error) {
	var t traffic
	root := peer.NewClient(peer.Options{Secret: []byte(peerSecret), Dial: t.dial})
	defer root.Close()
	message := relayMessage{To: len(r.addrs), FanOut: fanOut, Payload: make([]byte, treePayloadSize)}
	if err := r.relay(ctx, root, message); err != nil {
		return nil, fmt.Errorf("measure: tree: %w", err)
	}
	before, cpu := t.counts(), processCPU()
	var latencies []int64
	for range treeRounds {
		start := time.Now()
		if err := r.relay(ctx, root, message); err != nil {
			return nil, fmt.Errorf("measure: tree: %w", err)
		}
		latencies = append(latencies, time.Since(start).Microseconds())
	}
	cpuUsed, after := processCPU()-cpu, t.counts()
	slices.Sort(latencies)
	firstRanges := splitRange(0, len(r.addrs), fanOut)
	return &Tree{
		Instances: len(r.addrs), FanOut: fanOut, Depth: depth(0, len(r.addrs), fanOut),
		RootOut: float64(after.out-before.out) / treeRounds, RootIn: float64(after.in-before.in) / treeRounds,
		P50Micros: latencies[len(latencies)/2], MaxMicros: latencies[len(latencies)-1],
		CPUMicros:      float64(cpuUsed.Microseconds()) / treeRounds / float64(len(r.addrs)),
		LargestSubtree: firstRanges[len(firstRanges)-1][1] - firstRanges[len(firstRanges)-1][0],
	}, nil
}

func (r *relayServers) close() {
	for i := range r.servers {
		r.servers[i].Close()
		r.clients[i].Close()
	}
	_ = r.running.Wait()
}
