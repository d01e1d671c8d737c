package timeline

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"

	"github.com/cicadacove/cicadacove/internal/core/hlc"
	"k8s.io/klog/v2"
)

// Path is the URL path at which the admin server serves the Handler.
const Path = "/v1/timeline"

// Names of the query parameters of the Handler.
const (
	querySince   = "since"
	queryGroup   = "group"
	querySession = "session"
	queryRequest = "request"
	queryPart    = "part"
)

// Handler serves the events in memory as an Excerpt in JSON. The query
// parameters since (a timestamp), group, session, request and part select
// events.
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		filter, err := parseQuery(request.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(r.Excerpt(filter)); err != nil {
			klog.V(1).Infof("timeline: failed to send the events: %v", err)
		}
	})
}

func parseQuery(q url.Values) (Filter, error) {
	f := Filter{
		Group:   q.Get(queryGroup),
		Session: q.Get(querySession),
		Request: q.Get(queryRequest),
		Part:    Part(q.Get(queryPart)),
	}
	if since := q.Get(querySince); since != "" {
		t, err := hlc.Parse(since)
		if err != nil {
			return Filter{}, err
		}
		f.Since = t
	}
	return f, nil
}

// Query returns the filter as query parameters of the Handler.
func (f Filter) Query() url.Values {
	q := url.Values{}
	for name, value := range map[string]string{
		queryGroup:   f.Group,
		querySession: f.Session,
		queryRequest: f.Request,
		queryPart:    string(f.Part),
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if !f.Since.IsZero() {
		q.Set(querySince, f.Since.String())
	}
	return q
}

// Unreached is a process whose events could not be fetched.
type Unreached struct {
	URL   string `json:"url"`
	Error string `json:"error"`
}

// Collection is the timeline of several processes.
type Collection struct {
	Events    []Event     `json:"events"`
	Unreached []Unreached `json:"unreached"`
	// Overwritten counts, for each process, the older events that are no longer
	// in memory.
	Overwritten map[string]uint64 `json:"overwritten,omitempty"`
}

// FetchFunc fetches the events that a filter selects from the process whose
// admin server has the given base URL.
type FetchFunc func(ctx context.Context, base string, f Filter) (Excerpt, error)

// Collect fetches and merges the events of the processes whose admin servers
// have the given base URLs.
func Collect(ctx context.Context, bases []string, f Filter, fetch FetchFunc) Collection {
	excerpts := make([]Excerpt, len(bases))
	failures := make([]error, len(bases))
	var group sync.WaitGroup
	for i, base := range bases {
		group.Go(func() { excerpts[i], failures[i] = fetch(ctx, base, f) })
	}
	group.Wait()
	return assemble(bases, excerpts, failures)
}

func assemble(bases []string, excerpts []Excerpt, failures []error) Collection {
	c := Collection{Events: []Event{}, Unreached: []Unreached{}, Overwritten: map[string]uint64{}}
	var lists [][]Event
	for i, base := range bases {
		if failures[i] != nil {
			c.Unreached = append(c.Unreached, Unreached{URL: base, Error: failures[i].Error()})
			continue
		}
		lists = append(lists, excerpts[i].Events)
		if n := excerpts[i].Overwritten; n > 0 {
			c.Overwritten[excerpts[i].Process] = n
		}
	}
	c.Events = append(c.Events, Merge(lists...)...)
	return c
}
