package admin

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"github.com/cicadacove/cicadacove/examples"
	"github.com/cicadacove/cicadacove/internal/core/contract"
	"github.com/cicadacove/cicadacove/internal/core/questionnaire"
	"github.com/cicadacove/cicadacove/internal/core/revision"
	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/cicadacove/cicadacove/internal/tlsfile"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const selam = "selam-hire-ledger"

// fakeBackend implements all backends. The next calls of Propose return the
// errors in proposeFailures in order.
type fakeBackend struct {
	mu              sync.Mutex
	state           *revision.State
	proposeFailures []proposeFailure
	announced       []topo.Announcement
	readyErr        error
}

// proposeFailure is an error of Propose. If applied is set, Propose applies the
// change before it returns the error.
type proposeFailure struct {
	err     error
	applied bool
}

func (f *fakeBackend) Propose(_ context.Context, cmd revision.Command) (revision.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var next proposeFailure
	if len(f.proposeFailures) > 0 {
		next, f.proposeFailures = f.proposeFailures[0], f.proposeFailures[1:]
	}
	if next.err != nil && !next.applied {
		return revision.Result{}, next.err
	}
	return f.state.Execute(cmd), next.err
}

func (f *fakeBackend) Preview(_ context.Context, cmd revision.Command) (revision.Result, error) {
	return f.state.Preview(cmd), nil
}

func (f *fakeBackend) View(context.Context) (revision.View, error) { return f.state.View(), nil }

func (f *fakeBackend) History(_ context.Context, q revision.HistoryQuery) (revision.History, error) {
	return f.state.Query(q), nil
}

func (f *fakeBackend) Announce(_ context.Context, a topo.Announcement) error {
	f.announced = append(f.announced, a)
	return nil
}

func (f *fakeBackend) Status() Status {
	return Status{Instance: "entry-1", Groups: []topo.Group{{ID: "ledger-1"}, {ID: "orders-1"}}}
}

func (f *fakeBackend) Upstreams() []Upstream {
	return []Upstream{{Announcement: topo.Announcement{Group: "ledger-1"}}, {Announcement: topo.Announcement{Group: "orders-1"}}}
}
func (f *fakeBackend) Voters() []Voter          { return nil }
func (f *fakeBackend) Ready() error             { return f.readyErr }
func (f *fakeBackend) Config() *contract.Config { return f.state.Config() }

// testServer is a server with the contracts of both teams, at revision 2.
type testServer struct {
	*fakeBackend
	url    string
	tokens map[string]string
	dir    string
}

func newTestServer(t *testing.T, key []byte) *testServer {
	ts := &testServer{fakeBackend: &fakeBackend{state: revision.New()}, tokens: map[string]string{}, dir: t.TempDir()}
	for i, profile := range examples.Profiles() {
		data, err := examples.Answers(profile)
		require.NoError(t, err)
		a, err := questionnaire.Parse(data)
		require.NoError(t, err)
		cmd := revision.Command{Rules: revision.RulesVersion, RequestID: profile, BaseRevision: uint64(i), Actor: "setup", Team: profile, At: now,
			Change: revision.Change{Kind: revision.PutAnswers, Answers: a}}
		require.Equal(t, revision.Accepted, ts.state.Execute(cmd).Kind)
	}
	tokens, err := LoadTokens(ts.writeTokens(t))
	require.NoError(t, err)
	handler := New(Backends{Config: ts, Announcer: ts, Status: ts}, Options{Tokens: tokens, AnnounceKey: key, Now: func() time.Time { return now }}).Handler()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	ts.url = server.URL
	return ts
}

func (ts *testServer) writeTokens(t *testing.T) string {
	var file struct {
		Token []Token `toml:"token"`
	}
	for _, holder := range []struct {
		name, team string
		role       Role
	}{{"vera", "selam", RoleViewer}, {"omar", "selam", RoleOperator}, {"ada", "selam", RoleAdmin}, {"bea", "baumwachs", RoleAdmin}, {"root", revision.AnyTeam, RoleAdmin}} {
		token, line := NewToken(holder.name, holder.team, holder.role)
		ts.tokens[holder.name] = token
		file.Token = append(file.Token, line)
		require.NoError(t, os.WriteFile(filepath.Join(ts.dir, holder.name), []byte(token+"\n"), 0o600))
	}
	data, err := toml.Marshal(file)
	require.NoError(t, err)
	path := filepath.Join(ts.dir, "tokens.toml")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// call sends a request with the token of the named holder and returns the
// status code and the body.
func (ts *testServer) call(t *testing.T, holder, method, path, body string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, ts.url+path, strings.NewReader(body))
	require.NoError(t, err)
	if holder != "" {
		req.Header.Set("Authorization", "Bearer "+ts.tokens[holder])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, data
}

func (ts *testServer) client(t *testing.T, holder string) *Client {
	c, err := NewClient(ClientOptions{URL: ts.url, TokenFile: filepath.Join(ts.dir, holder)})
	require.NoError(t, err)
	c.backoff = time.Nanosecond
	return c
}

const amendBody = `{"base_revision":2,"request_id":"r1","set":[{"answer":"stock.wait","value":"3s"}]}`

func TestRolesAndTeams(t *testing.T) {
	ts := newTestServer(t, nil)
	own, other := "/v1/contracts/"+selam, "/v1/contracts/baumwachs-order-store"
	cases := []struct {
		holder, method, path string
		status               int
	}{
		{"", "GET", own, http.StatusUnauthorized},
		{"nobody", "GET", own, http.StatusUnauthorized},
		{"vera", "GET", own, http.StatusOK},
		{"vera", "GET", other, http.StatusNotFound},
		{"vera", "GET", other + "/answers", http.StatusNotFound},
		{"vera", "GET", other + "/explain", http.StatusNotFound},
		{"vera", "PATCH", own + "/answers", http.StatusForbidden},
		{"vera", "GET", "/v1/audit", http.StatusForbidden},
		{"ada", "GET", "/v1/audit", http.StatusOK},
		{"omar", "PATCH", other + "/answers", http.StatusForbidden},
		{"omar", "DELETE", own, http.StatusForbidden},
		{"bea", "PATCH", own + "/answers", http.StatusForbidden},
		{"ada", "DELETE", own, http.StatusUnprocessableEntity},
		{"omar", "PATCH", own + "/answers?dry_run=true", http.StatusOK},
		{"omar", "PATCH", own + "/answers", http.StatusOK},
		{"root", "GET", other, http.StatusOK},
		{"vera", "GET", "/v1/none", http.StatusNotFound},
		{"vera", "GET", "/v1/voters", http.StatusOK},
		{"vera", "GET", "/v1/questionnaire", http.StatusOK},
	}
	for i, tc := range cases {
		body := strings.Replace(amendBody, "r1", "r"+string(rune('a'+i)), 1)
		if tc.method == "GET" {
			body = ""
		}
		status, data := ts.call(t, tc.holder, tc.method, tc.path, body)
		require.Equal(t, tc.status, status, "%v: %s", tc, data)
	}
	require.Equal(t, uint64(3), ts.state.Revision())
}

func TestBadRequestsNameTheField(t *testing.T) {
	ts := newTestServer(t, nil)
	path := "/v1/contracts/" + selam
	cases := []struct{ method, path, body, field string }{
		{"PATCH", path + "/answers", `{"request_id":"x","set":[{"answer":"a","value":"b"}]}`, "base_revision"},
		{"PATCH", path + "/answers", `{"base_revision":2,"set":[{"answer":"a","value":"b"}]}`, "request_id"},
		{"PATCH", path + "/answers", `{"base_revision":2,"request_id":"x"}`, "set"},
		{"PATCH", path + "/answers", `{"base_revision":"2"}`, "base_revision"},
		{"PATCH", path + "/answers", `{"base":2}`, "base"},
		{"PATCH", path + "/answers", `{"base_revision":2} {}`, "body"},
		{"PATCH", path + "/answers", `{`, "body"},
		{"PUT", path, `{"contract":{"services":[{"name":"s","wait":"1s"}]}}`, "wait"},
		{"PUT", path, `{"contract":{"services":[{"name":"s","target":"soon"}]}}`, "contract.services.target"},
		{"PUT", path, `{"contract":{"services":[{"name":"s","target":3}]}}`, "contract.services.target"},
		{"PUT", path, `{"contract":{"services":[{"name":"s","rank":"1"}]}}`, "contract.services.rank"},
		{"PUT", path, `{"contract":{"ends_at":"soon"}}`, timeFields},
		{"PUT", path + "/answers", `{"answers":{"service":[{"data_age":"old"}]}}`, "answers.service.data_age"},
		{"PUT", path, `{"base_revision":2,"request_id":"x"}`, "contract"},
		{"PUT", path, `{"base_revision":2,"request_id":"x","contract":{"id":"y"}}`, "contract.id"},
		{"PUT", path + "/answers", `{"base_revision":2,"request_id":"x"}`, "answers"},
		{"GET", "/v1/history?limit=0", "", "limit"},
	}
	for _, tc := range cases {
		status, data := ts.call(t, "ada", tc.method, tc.path, tc.body)
		require.Equal(t, http.StatusBadRequest, status, string(data))
		var apiErr Error
		require.NoError(t, json.Unmarshal(data, &apiErr))
		require.Equal(t, tc.field, apiErr.Fields[0].Field)
	}
	status, _ := ts.call(t, "ada", "PATCH", path+"/answers", `{"request_id":"`+strings.Repeat("x", maxBodyBytes)+`"}`)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
}

func TestListsShowOwnTeamOnly(t *testing.T) {
	ts := newTestServer(t, nil)
	list, err := ts.client(t, "vera").Contracts(t.Context())
	require.NoError(t, err)
	require.Len(t, list.Contracts, 1)
	require.Equal(t, contract.PhaseRunning, list.Contracts[0].Phase)
	history, err := ts.client(t, "vera").History(t.Context(), "", 10)
	require.NoError(t, err)
	require.Len(t, history.Entries, 1)
	status, err := ts.client(t, "vera").Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, []topo.Group{{ID: "ledger-1"}}, status.Groups)
	_, data := ts.call(t, "bea", "GET", "/v1/upstreams", "")
	require.NotContains(t, string(data), "ledger")
}

func TestClientResendsUntilResultIsKnown(t *testing.T) {
	ts := newTestServer(t, nil)
	ts.proposeFailures = []proposeFailure{{err: ErrUnavailable}, {err: ErrUnknown, applied: true}, {err: errors.Join(ErrUnavailable)}}
	base := uint64(2)
	write := WriteRequest{BaseRevision: &base, RequestID: "once", Set: []questionnaire.Setting{{Answer: "stock.wait", Value: "3s"}}}
	result, err := ts.client(t, "omar").AmendAnswers(t.Context(), selam, write, false)
	require.NoError(t, err)
	require.Equal(t, revision.Accepted, result.Kind)
	require.Equal(t, uint64(3), result.Revision)
	require.Equal(t, uint64(3), ts.state.Revision())

	write.RequestID = "twice"
	result, err = ts.client(t, "omar").AmendAnswers(t.Context(), selam, write, false)
	require.NoError(t, err)
	require.Equal(t, revision.Conflict, result.Kind)
	require.Equal(t, "services.stock.target", result.Diff[0].Field)
}

func TestInternalErrorsAreNotShown(t *testing.T) {
	ts := newTestServer(t, nil)
	ts.proposeFailures = []proposeFailure{{err: errors.New("disk of voter 3")}}
	status, data := ts.call(t, "omar", "PATCH", "/v1/contracts/"+selam+"/answers", amendBody)
	require.Equal(t, http.StatusInternalServerError, status)
	require.NotContains(t, string(data), "voter 3")
}

func TestAnnouncements(t *testing.T) {
	key := []byte("0123456789abcdef")
	ts := newTestServer(t, key)
	send := func(body []byte, signature string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, ts.url+"/v1/announce", bytes.NewReader(body))
		require.NoError(t, err)
		req.Header.Set(SignatureHeader, signature)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	a := topo.Announcement{Group: "ledger-1", ID: "ledger-1/a", Addr: "127.0.0.1:5432", Zone: "a", Role: topo.RoleReplica, Slots: 3}
	body, err := json.Marshal(a)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, send(body, Sign(key, body)))
	require.Equal(t, []topo.Announcement{a}, ts.announced)
	require.Equal(t, http.StatusUnauthorized, send(body, ""))
	require.Equal(t, http.StatusUnauthorized, send(append(body, ' '), Sign(key, body)))
	bad := []byte(`{"group":"g"}`)
	require.Equal(t, http.StatusBadRequest, send(bad, Sign(key, bad)))
	require.Len(t, ts.announced, 1)
}

func TestReadiness(t *testing.T) {
	ts := newTestServer(t, nil)
	status, _ := ts.call(t, "", "GET", "/readyz", "")
	require.Equal(t, http.StatusOK, status)
	ts.readyErr = errors.New("no lease")
	status, data := ts.call(t, "", "GET", "/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, string(data), "no lease")
	status, _ = ts.call(t, "", "GET", "/healthz", "")
	require.Equal(t, http.StatusOK, status)
}

func TestRevokedTokenIsRefused(t *testing.T) {
	ts := newTestServer(t, nil)
	path := filepath.Join(ts.dir, "tokens.toml")
	tokens, err := LoadTokens(path)
	require.NoError(t, err)
	clock := time.Now()
	tokens.now = func() time.Time { return clock }
	_, ok := tokens.Identify(ts.tokens["ada"])
	require.True(t, ok)
	require.NoError(t, os.WriteFile(path, []byte("[[token]]\nname = \"x\"\n"), 0o600))
	clock = clock.Add(tokensCheckInterval)
	_, ok = tokens.Identify(ts.tokens["ada"])
	require.True(t, ok, "the previous tokens stay valid while the file is invalid")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	clock = clock.Add(tokensCheckInterval)
	_, ok = tokens.Identify(ts.tokens["ada"])
	require.False(t, ok)
}

func TestServeStopsWhenContextEnds(t *testing.T) {
	f := &fakeBackend{state: revision.New()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- New(Backends{Config: f, Announcer: f, Status: f}, Options{}).Serve(ctx, l) }()
	resp, err := http.Get("http://" + l.Addr().String() + "/healthz")
	require.NoError(t, err)
	resp.Body.Close()
	cancel()
	require.NoError(t, <-done)
}

func TestServeWithTLS(t *testing.T) {
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	defer tlsServer.Close()
	pair := tlsServer.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	require.NoError(t, err)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "crt"), filepath.Join(dir, "key")
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), 0o600))
	certificate, err := tlsfile.Load(certFile, keyFile)
	require.NoError(t, err)

	f := &fakeBackend{state: revision.New()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go New(Backends{Config: f, Announcer: f, Status: f}, Options{Certificate: certificate}).Serve(t.Context(), l)
	trustingClient, err := NewClient(ClientOptions{URL: "https://" + l.Addr().String(), CAFile: certFile})
	require.NoError(t, err)
	_, err = trustingClient.Contracts(t.Context())
	require.NoError(t, err)
	untrustingClient, err := NewClient(ClientOptions{URL: "https://" + l.Addr().String()})
	require.NoError(t, err)
	_, err = untrustingClient.Contracts(t.Context())
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable)
	require.ErrorContains(t, err, "certificate")
}

func FuzzWriteBody(f *testing.F) {
	f.Add([]byte(amendBody))
	f.Add([]byte(`{"base_revision":2,"request_id":"x","contract":{"id":"` + selam + `","services":[{"target":"1s"}]}}`))
	f.Add([]byte(`{"base_revision":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state := &fakeBackend{state: revision.New()}
		handler := New(Backends{Config: state, Announcer: state, Status: state}, Options{Now: func() time.Time { return now }}).Handler()
		for _, method := range []string{"PUT", "PATCH"} {
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, httptest.NewRequest(method, "/v1/contracts/"+selam+"/answers", bytes.NewReader(data)))
			require.True(t, json.Valid(response.Body.Bytes()))
			require.Less(t, response.Code, http.StatusInternalServerError)
		}
	})
}

func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"group":"g","id":"g/a","addr":"127.0.0.1:1","zone":"a","role":"replica"}`))
	f.Add([]byte(`{"slots":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := decodeAnnouncement(data)
		if err == nil {
			require.NotEmpty(t, a.Group)
			return
		}
		var apiErr *Error
		require.ErrorAs(t, err, &apiErr)
	})
}

// Guards against announcements whose numbers overflow in later sums and products.
func TestAnnouncementsOutOfRangeNameTheField(t *testing.T) {
	const text = `{"group":"g","id":"g/a","zone":"z","addr":"127.0.0.1:1","role":"replica","slots":%d,"connections":%d}`
	for field, numbers := range map[string][2]int{
		"slots":       {math.MaxInt, 20},
		"connections": {3, math.MaxInt},
	} {
		_, err := decodeAnnouncement([]byte(fmt.Sprintf(text, numbers[0], numbers[1])))
		var refused *Error
		require.ErrorAs(t, err, &refused, field)
		require.Len(t, refused.Fields, 1)
		require.Equal(t, field, refused.Fields[0].Field)
	}
	_, err := decodeAnnouncement([]byte(fmt.Sprintf(text, topo.MaxSlots, topo.MaxConnections)))
	require.NoError(t, err)
}
