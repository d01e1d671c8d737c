package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The rule on faults: maxEnds is how often the processes of a machine may end by
// themselves, maxMachines on how many machines.
const maxEnds, maxMachines = 3, 2

// newReplicatedGroup returns a group with a primary in the first zone and a replica in each
// other one.
func newReplicatedGroup(r *record, c *cluster) (*group, error) {
	g := &group{
		r: r, name: serviceName, slots: 3, work: 8 * time.Millisecond, maxConn: 21, promoteTime: 600 * time.Millisecond,
		control: c.controlAddrs(), stopped: make(chan struct{}), term: 1,
	}
	for i, role := range []string{rolePrimary, roleReplica, roleReplica} {
		if _, err := g.add(fmt.Sprintf("i-%d", i+1), zones[i], c.address(firstDatabaseHost+i), role); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func randomText(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+/"
	text := make([]byte, n)
	for i := range text {
		text[i] = letters[rand.IntN(len(letters))]
	}
	return string(text)
}

// checkMemory checks that no process was killed for using more than the memory of its
// machine as often as the rule on faults says.
func checkMemory(r *record, c *cluster) error {
	bad, ends := 0, 0
	for _, m := range append(append([]*machine{}, c.core...), c.fronts...) {
		over, peak := m.memory()
		r.say("%s: at most %d MB of %d, killed for its memory %d times", m.name, peak, m.memoryMb, over)
		ends += over
		if over >= maxEnds {
			bad++
		}
	}
	if bad >= maxMachines {
		return fmt.Errorf("%w: Fault: the processes of %d machines ended by themselves %d times", errBroken, bad, ends)
	}
	return nil
}
