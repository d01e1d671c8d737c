package main

import (
	"sync"
	"time"
)

const (
	startLimit = 20 * time.Second
	// calmTime is how long the clients run before and after the change.
	calmTime = 5 * time.Second
	// changeTime is how long the change is observed.
	changeTime = 12 * time.Second
	// readersPerEntry is the number of clients of each kind at one entry instance.
	readersPerEntry = 3
	// readPause is the pause of a reading client between two statements.
	readPause = 50 * time.Millisecond
	// routeTimeout is the timeout of each statement.
	routeTimeout = time.Second
	// crashesForFault is the number of ends of its own in a day from which on a
	// process counts towards a fault, crashedMachines the number of such machines.
	crashesForFault, crashedMachines = 3, 2
)

// routes returns the routes of a small site: one of each type, with the priorities
// 0, 1 and 2.
func routes(group string) []route {
	base := route{PathPrefix: "/", TimeoutMs: int(routeTimeout.Milliseconds()), Service: group, MaxAttempts: 2}
	placement, dispatch, catalogue := base, base, base
	placement.Name, placement.Database, placement.RouteType = "r-placement", "placement", "primary"
	placement.Priority, placement.TargetLatencyMs = 0, 200
	dispatch.Name, dispatch.Database, dispatch.RouteType = "r-dispatch", "dispatch", "read_your_writes"
	dispatch.Priority, dispatch.TargetLatencyMs, dispatch.MaxStalenessMs = 1, 400, 2500
	catalogue.Name, catalogue.Database, catalogue.RouteType = "r-catalogue", "catalogue", "bounded_staleness"
	catalogue.Priority, catalogue.TargetLatencyMs, catalogue.MaxStalenessMs = 2, 1500, 1500
	return []route{placement, dispatch, catalogue}
}

// addedRoute returns the route that the change adds, with the given priority.
func addedRoute(group string, priority int) route {
	return route{
		Name: "r-report", Database: "report", PathPrefix: "/", RouteType: "bounded_staleness", TimeoutMs: int(routeTimeout.Milliseconds()),
		TargetLatencyMs: 1500, Priority: priority, Service: group, MaxAttempts: 2, MaxStalenessMs: 1500,
	}
}

// runPriority changes the configuration: it adds a route with the priority 3, one
// step below those that the deployment has. Without the disruption the added route
// has the priority 2. Clients use the three routes throughout, and the added one
// once its configuration is acknowledged.
func runPriority(r *run) (broken bool, err error) {
	if err := r.startAll(); err != nil {
		return false, err
	}
	if _, _, err := r.operator.put(newConfig(3, r.group.name, routes(r.group.name)...), startLimit); err != nil {
		return false, err
	}
	if err := r.awaitReady(startLimit); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // the databases have announced themselves by now
	log, until := &requestLog{run: r}, make(chan struct{})
	var clients sync.WaitGroup
	for entry := range entryCount {
		for range readersPerEntry {
			for _, database := range []string{"dispatch", "catalogue"} {
				clients.Go(func() { repeat(r, log, entry, database, "READ 1a4", readPause, until) })
			}
		}
		clients.Go(func() { repeat(r, log, entry, "placement", "WRITE 1a4 xkqpwnzd", 100*time.Millisecond, until) })
	}
	calmAt := time.Now()
	time.Sleep(calmTime)
	priority := 2
	if r.trouble {
		priority = 3
	}
	sentAt, ackedAt, err := r.operator.put(newConfig(9, r.group.name, append(routes(r.group.name), addedRoute(r.group.name, priority))...), startLimit)
	if err == nil {
		for entry := range entryCount {
			clients.Go(func() { repeat(r, log, entry, "report", "READ 1a4", readPause, until) })
		}
		time.Sleep(changeTime)
	}
	close(until)
	clients.Wait()
	if err != nil {
		return false, err
	}
	calm := r.cutRequests(log, calmAt, sentAt)
	lost := r.cutRequests(log, sentAt, ackedAt.Add(configApply+time.Second))
	faulty := 0
	for _, p := range r.entries {
		r.record.printf("%s ended by itself %d times", p, p.exits())
		if p.exits() >= crashesForFault {
			faulty++
		}
	}
	r.record.printf("requests cut after they reached a database: %d before the change, %d beside it", calm, lost)
	r.record.printf("entry instances that ended by themselves %d times or more: %d", crashesForFault, faulty)
	return lost > 3*calm && lost > 0 || faulty >= crashedMachines, nil
}

// cutRequests counts the requests that reached a database and whose connection
// ended in the span without an answer, before seven tenths of the route's timeout.
func (r *run) cutRequests(log *requestLog, from, to time.Time) int {
	cut := 0
	for _, q := range log.all() {
		if q.answered() || q.endedAt.Before(from) || q.endedAt.After(to) || !r.group.hasReached(q.id) {
			continue
		}
		if took := q.endedAt.Sub(q.sentAt); took < routeTimeout*7/10 {
			cut++
			r.record.printf("LOST: %s was cut at front-%d after %.3f s", q.id, q.entry+1, took.Seconds())
		}
	}
	return cut
}
