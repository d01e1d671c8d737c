package admission

// pick removes and returns the waiting ticket to serve next, or nil when no
// waiting ticket may use a free slot. Started transactions take precedence, so
// that they end and release their connections.
func (s *Scheduler) pick() *Ticket {
	fresh := s.pickNew()
	resumed := s.mostUrgentResumed()
	if resumed != nil && !s.mustYield(resumed, fresh) {
		return s.popResumed(resumed)
	}
	return s.popNew(fresh)
}

// pickNew returns the service whose next new request the policy serves first.
func (s *Scheduler) pickNew() *serviceState {
	if !s.mayConnect() {
		return nil
	}
	switch s.options.Policy {
	case FIFO:
		return s.oldest()
	case StrictPriority:
		return s.mostUrgent()
	case StaticShares:
		return s.withinAllotment()
	}
	if owed := s.furthestBelowFloor(); owed != nil {
		return owed
	}
	return s.mostUrgent()
}

func (s *Scheduler) popNew(c *serviceState) *Ticket {
	if c == nil {
		return nil
	}
	s.waiting--
	return c.queue.pop()
}

func (s *Scheduler) popResumed(c *serviceState) *Ticket {
	t := c.resumed.head
	s.remove(t)
	return t
}

// mustYield reports whether a started transaction yields this slot to a new
// request. It yields every second slot while the new request is more urgent, so
// that neither starves the other.
func (s *Scheduler) mustYield(resumed, fresh *serviceState) bool {
	if s.options.Policy != Ranked || fresh == nil || fresh.rank >= resumed.rank {
		return false
	}
	s.yielded = !s.yielded
	return !s.yielded
}

// mostUrgentResumed returns the most urgent service with a waiting request of
// a started transaction.
func (s *Scheduler) mostUrgentResumed() *serviceState {
	for _, c := range s.services {
		if c.resumed.length > 0 {
			return c
		}
	}
	return nil
}

// mostUrgent returns a service of the most urgent rank with waiting new
// requests; among equals, the least recently served one.
func (s *Scheduler) mostUrgent() *serviceState {
	var best *serviceState
	for _, c := range s.services {
		if best != nil && c.rank > best.rank {
			break
		}
		if c.queue.size == 0 {
			continue
		}
		if best == nil || c.lastStartSeq < best.lastStartSeq {
			best = c
		}
	}
	return best
}

// furthestBelowFloor returns the service that is furthest below its floor,
// measured by the time that its floor needs to earn the credit.
func (s *Scheduler) furthestBelowFloor() *serviceState {
	if s.options.Disabled.Floors {
		return nil
	}
	var best *serviceState
	var longest float64
	for _, c := range s.services {
		if !c.belowFloor() {
			continue
		}
		behind := float64(c.credit) / c.floor
		if best == nil || behind > longest {
			best, longest = c, behind
		}
	}
	return best
}

// oldest returns the service with the earliest arrival at the head of its queue.
func (s *Scheduler) oldest() *serviceState {
	var best *serviceState
	for _, c := range s.services {
		if c.queue.size == 0 {
			continue
		}
		if best == nil || c.queue.head().arrivalSeq < best.queue.head().arrivalSeq {
			best = c
		}
	}
	return best
}

// withinAllotment returns the most urgent service that has waiting requests and
// uses fewer slots than allotted.
func (s *Scheduler) withinAllotment() *serviceState {
	for _, c := range s.services {
		if c.queue.size > 0 && c.running < c.allotted {
			return c
		}
	}
	return nil
}

// mayStart reports whether the ticket may use a free slot at once.
func (s *Scheduler) mayStart(t *Ticket) bool {
	if t.Request.InTransaction {
		return true
	}
	within := s.options.Policy != StaticShares || t.service.running < t.service.allotted
	return within && s.mayConnect()
}

// allot assigns each service a fixed number of slots by its floor and the rest
// to the most urgent service. Every service gets at least one slot.
func (s *Scheduler) allot() {
	if s.options.Policy != StaticShares || len(s.services) == 0 {
		return
	}
	left := s.slots
	for i := len(s.services) - 1; i > 0; i-- {
		c := s.services[i]
		c.allotted = max(int(c.floor*float64(s.slots)), 1)
		left -= c.allotted
	}
	s.services[0].allotted = max(left, 1)
}
