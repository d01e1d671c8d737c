package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/timeline"
)

// Limits of the client.
const (
	clientTimeout    = 15 * time.Second
	clientAttempts   = 4
	clientBackoff    = 250 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// UnreachableError means that a server could not be reached or did not send a
// complete response.
type UnreachableError struct {
	URL   string
	Cause error
}

// Error returns the URL of the server and the cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%s: %v", e.URL, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ClientOptions configures a client.
type ClientOptions struct {
	// URL is the address of the server, for example https://10.20.1.11:6434.
	URL string
	// TokenFile and CAFile may be empty.
	TokenFile string
	CAFile    string
}

// Client calls the admin API.
type Client struct {
	base    string
	token   string
	http    *http.Client
	backoff time.Duration
}

// NewClient returns a client.
func NewClient(o ClientOptions) (*Client, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("%q is not the URL of an admin server, such as https://10.20.1.11:6434", o.URL)
	}
	token := ""
	if o.TokenFile != "" {
		data, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if o.CAFile != "" {
		pool, err := loadPool(o.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Client{
		base: strings.TrimSuffix(o.URL, "/"), token: token, backoff: clientBackoff,
		http: &http.Client{Transport: transport, Timeout: clientTimeout},
	}, nil
}

func loadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s: contains no certificate", path)
	}
	return pool, nil
}

// Contracts lists the contracts.
func (c *Client) Contracts(ctx context.Context) (ContractList, error) {
	return get[ContractList](ctx, c, "/v1/contracts")
}

// Contract returns one contract.
func (c *Client) Contract(ctx context.Context, id string) (ContractView, error) {
	return get[ContractView](ctx, c, contractPath(id))
}

// Answers returns the answers from which a contract is derived.
func (c *Client) Answers(ctx context.Context, id string) (AnswersView, error) {
	return get[AnswersView](ctx, c, contractPath(id)+"/answers")
}

// Explain returns the answer and the rule from which each value of a contract
// is derived.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	return get[Explanation](ctx, c, contractPath(id)+"/explain")
}

// History returns the latest revisions: those of the contract id, or of all
// contracts when id is empty.
func (c *Client) History(ctx context.Context, id string, limit int) (revision.History, error) {
	query := url.Values{"limit": {fmt.Sprint(limit)}}
	if id != "" {
		query.Set("contract", id)
	}
	return get[revision.History](ctx, c, "/v1/history?"+query.Encode())
}

// Status returns the status of the server's process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// Timeline returns the events of the process that the filter selects.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (timeline.Excerpt, error) {
	return get[timeline.Excerpt](ctx, c, timeline.Path+"?"+f.Query().Encode())
}

// Upstreams returns the view of the upstreams in the server's process.
func (c *Client) Upstreams(ctx context.Context) (UpstreamList, error) {
	return get[UpstreamList](ctx, c, "/v1/upstreams")
}

// Voters returns the view of the control voters in the server's process.
func (c *Client) Voters(ctx context.Context) (VoterList, error) {
	return get[VoterList](ctx, c, "/v1/voters")
}

// PutAnswers creates or replaces the contract that is derived from answers.
func (c *Client) PutAnswers(ctx context.Context, w WriteRequest, dryRun bool) (revision.Result, error) {
	return c.write(ctx, http.MethodPut, contractPath(w.Answers.Contract)+"/answers", w, dryRun)
}

// AmendAnswers changes individual answers of a contract.
func (c *Client) AmendAnswers(ctx context.Context, id string, w WriteRequest, dryRun bool) (revision.Result, error) {
	return c.write(ctx, http.MethodPatch, contractPath(id)+"/answers", w, dryRun)
}

// PutContract creates or replaces a contract that has no answers.
func (c *Client) PutContract(ctx context.Context, w WriteRequest, dryRun bool) (revision.Result, error) {
	return c.write(ctx, http.MethodPut, contractPath(w.Contract.ID), w, dryRun)
}

// RemoveContract removes a contract that has ended.
func (c *Client) RemoveContract(ctx context.Context, id string, w WriteRequest, dryRun bool) (revision.Result, error) {
	return c.write(ctx, http.MethodDelete, contractPath(id), w, dryRun)
}

func contractPath(id string) string { return "/v1/contracts/" + url.PathEscape(id) }

// write sends a write up to clientAttempts times, until the server can be
// reached, has a leader and reports a definite result. The request id ensures
// that the write takes effect at most once. write returns conflicts and refusals
// as results, not as errors.
func (c *Client) write(ctx context.Context, method, path string, w WriteRequest, dryRun bool) (revision.Result, error) {
	if dryRun {
		path += "?dry_run=true"
	}
	var result revision.Result
	var err error
	for attempt := range clientAttempts {
		if attempt > 0 {
			if err := sleep(ctx, c.backoff<<(attempt-1)); err != nil {
				return result, err
			}
		}
		err = c.do(ctx, method, path, w, &result)
		if !isRetryable(err) {
			break
		}
	}
	var apiErr *Error
	if errors.As(err, &apiErr) && apiErr.Result != nil {
		return *apiErr.Result, nil
	}
	return result, err
}

// isRetryable reports whether sending the request again may succeed.
func isRetryable(err error) bool {
	var unreachable *UnreachableError
	var apiErr *Error
	if errors.As(err, &unreachable) {
		return true
	}
	return errors.As(err, &apiErr) && (apiErr.Code == CodeUnavailable || apiErr.Code == CodeUnknown)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var response T
	err := c.do(ctx, http.MethodGet, path, nil, &response)
	return response, err
}

// do sends one request and decodes the response into target. It returns an
// error response of the API as *Error.
func (c *Client) do(ctx context.Context, method, path string, body, target any) error {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{URL: c.base, Cause: err}
	}
	defer resp.Body.Close()
	return c.decode(resp, target)
}

func (c *Client) decode(resp *http.Response, target any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &UnreachableError{URL: c.base, Cause: err}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return json.Unmarshal(data, target)
	}
	apiErr := &Error{}
	if json.Unmarshal(data, apiErr) != nil || apiErr.Code == "" {
		return fmt.Errorf("%s answered %s", c.base, resp.Status)
	}
	return apiErr
}
