package agent

import (
	"math/rand/v2"
	"slices"

	"k8s.io/klog/v2"
)

const (
	// maxContacts limits the number of addresses kept besides the voters and the seeds.
	maxContacts = 16
	// maxFurtherAsked is the number of addresses besides the voters that are asked at
	// once while the leader is unknown. Repeated attempts reach all of them.
	maxFurtherAsked = 8
	// maxRedirects is the number of redirects that a call follows.
	maxRedirects = 4
)

// SetSeeds replaces the configured addresses of voters, which the agent asks besides those
// that it knows while the leader is unknown.
func (a *Agent) SetSeeds(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seeds = slices.Clone(addrs)
}

// setVoters replaces the known voters and keeps the former ones as contacts. The caller
// holds a.mu.
func (a *Agent) setVoters(addrs []string) {
	former := slices.DeleteFunc(slices.Clone(a.voters), func(addr string) bool { return slices.Contains(addrs, addr) })
	a.voters = addrs
	a.learnContacts(former)
}

// learnContacts keeps addresses at which the leader may be found, at most maxContacts, the
// latest last. The caller holds a.mu.
func (a *Agent) learnContacts(addrs []string) {
	for _, addr := range addrs {
		if addr == "" || slices.Contains(a.voters, addr) || slices.Contains(a.seeds, addr) {
			continue
		}
		a.contacts = slices.DeleteFunc(a.contacts, func(known string) bool { return known == addr })
		a.contacts = append(a.contacts, addr)
	}
	a.contacts = a.contacts[max(0, len(a.contacts)-maxContacts):]
}

// leaderCandidates returns the leader's address. If it is unknown, it returns the voters,
// the address of the last redirect, and some of the seeds and contacts.
func (a *Agent) leaderCandidates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return []string{a.leader}
	}
	addrs := slices.Clone(a.voters)
	if a.leaderHint != "" && !slices.Contains(addrs, a.leaderHint) {
		addrs = append(addrs, a.leaderHint)
	}
	further := slices.Concat(a.seeds, a.contacts)
	rand.Shuffle(len(further), func(i, j int) { further[i], further[j] = further[j], further[i] })
	limit := len(addrs) + maxFurtherAsked
	for _, addr := range further {
		if len(addrs) < limit && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (a *Agent) setLeader(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != addr && !slices.Contains(a.voters, addr) {
		klog.InfoS("agent: leader found beyond the known voters", "instance", a.opts.Self.ID, "leader", addr, "voters", len(a.voters))
	}
	a.leader = addr
}

// forgetLeader clears the leader if it is still the given one, which doesn't answer.
func (a *Agent) forgetLeader(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == addr {
		a.leader = ""
	}
}

// noteNotLeader clears the leader unless another one has been found, keeps what the answer
// names for the next request, and returns the address to which it redirects.
func (a *Agent) noteNotLeader(o leaderInfo) (redirect string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	addr, leader, contacts := o.source()
	if a.leader == addr {
		a.leader = ""
	}
	if leader != "" {
		a.leaderHint = leader
	}
	a.learnContacts(append(contacts, leader))
	return leader
}
