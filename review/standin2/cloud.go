package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// cloud is the platform's API. It is slow in some spells: a call that arrives in a spell
// is handled later.
type cloud struct {
	r     *record
	group *group

	mu sync.Mutex
	// slowFor is the length of the spell that begins with the next call, slowBy the time
	// after which a call in the spell is handled.
	slowFor, slowBy time.Duration
	slowUntil       time.Time
	server          http.Server
}

func (c *cloud) serve(addr string) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.promote)
	c.server = http.Server{Addr: addr, Handler: mux}
	go func() { _ = c.server.ListenAndServe() }() // ends with Close
}

// delay returns the time after which a call is handled.
func (c *cloud) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slowFor > 0 {
		c.slowUntil, c.slowFor = time.Now().Add(c.slowFor), 0
	}
	if time.Now().Before(c.slowUntil) {
		return c.slowBy
	}
	return 0
}

func (c *cloud) promote(w http.ResponseWriter, req *http.Request) {
	var body struct{ Service, ID string }
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || body.Service != c.group.name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := req.Header.Get("X-Duty-Holder"), req.Header.Get("X-Fencing-Token")
	wait := c.delay()
	c.r.say("the platform receives promote %s from %s with token %s; it handles it after %v", body.ID, holder, token, wait)
	time.Sleep(wait)
	if err := c.group.promote(body.ID); err != nil {
		c.r.say("the platform refuses promote %s: %v", body.ID, err)
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.r.say("the platform handles promote %s with token %s", body.ID, token)
	w.WriteHeader(http.StatusOK)
}

// startWith starts the cluster with the platform's API before it, and sends the
// configuration until it is acknowledged.
func (c *cluster) startWith(g *group, config map[string]any) (*cloud, error) {
	platform := &cloud{r: c.r, group: g}
	platform.serve(c.cloudAddr())
	if err := c.start(); err != nil {
		return nil, err
	}
	return platform, putConfig(c.r, c.controlAddrs(), config)
}
