package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// route is one route of a configuration.
type route struct {
	Name            string `json:"name"`
	Database        string `json:"database"`
	PathPrefix      string `json:"pathPrefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	MaxStalenessMs  int    `json:"maxStalenessMs,omitempty"`
}

type service struct {
	Name         string `json:"name"`
	HealthPath   string `json:"healthPath"`
	MaxConns     int    `json:"maxConns"`
	Protocol     string `json:"protocol"`
	TLS          bool   `json:"tls"`
	SyncReplicas int    `json:"syncReplicas"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
	TxIdleMs        int `json:"txIdleMs"`
}

type config struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

func newConfig(version int, group string, routes ...route) config {
	return config{
		Version: version, Routes: routes,
		Services: []service{{Name: group, HealthPath: "/health", MaxConns: 55, Protocol: "h1"}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TxIdleMs: 3000},
	}
}

// operator sends configurations to any control voter.
type operator struct {
	run   *run
	addrs []string
}

// put sends a configuration until it is acknowledged and returns when it was
// first sent and when it was acknowledged. A refusal is an error.
func (o *operator) put(c config, limit time.Duration) (sentAt, ackedAt time.Time, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return time.Time{}, time.Time{}, err
	}
	client := &http.Client{Timeout: time.Second}
	sentAt = time.Now()
	o.run.record.printf("operator: PUT /config %s", body)
	for attempt := 0; time.Since(sentAt) < limit; attempt++ {
		addr := o.addrs[attempt%len(o.addrs)]
		req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/config", bytes.NewReader(body))
		if err != nil {
			return sentAt, time.Time{}, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusOK:
			o.run.record.printf("operator: version %d is acknowledged", c.Version)
			return sentAt, time.Now(), nil
		case resp.StatusCode < http.StatusInternalServerError:
			return sentAt, time.Time{}, fmt.Errorf("configuration %d is refused: %s", c.Version, resp.Status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return sentAt, time.Time{}, fmt.Errorf("configuration %d is not acknowledged within %s", c.Version, limit)
}
