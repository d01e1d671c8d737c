package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"github.com/jackc/pgx/v5/pgconn"
	"k8s.io/klog/v2"
)

const (
	// logBatchEntries is the maximum number of entries in one request.
	logBatchEntries = 256
	// logWait is how long the primary waits for a new entry before it responds.
	logWait = 500 * time.Millisecond
	// logTimeout limits the whole request for entries.
	logTimeout = 3 * time.Second
	// replicationRetryDelay is the delay before a retry of a failed attempt.
	replicationRetryDelay = 50 * time.Millisecond
)

// errSourceChanged ends a replication stream whose source has been replaced.
var errSourceChanged = errors.New("the primary to follow has changed")

// replicateLoop pulls the log from the primary that the database follows.
func (d *Database) replicateLoop(ctx context.Context) {
	for ctx.Err() == nil {
		addr, sourceVersion, changed := d.source()
		if addr == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := d.streamLog(ctx, addr, sourceVersion)
		if ctx.Err() != nil || errors.Is(err, errSourceChanged) {
			continue
		}
		klog.V(1).Infof("standin: %s: replication from %s: %v", d.options.ID, addr, err)
		if sleep(ctx, replicationRetryDelay) != nil {
			return
		}
	}
}

func (d *Database) source() (addr string, sourceVersion uint64, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.role == topo.RolePrimary {
		return "", d.state.sourceVersion, d.state.changed
	}
	return d.state.primaryAddr, d.state.sourceVersion, d.state.changed
}

// streamLog fetches and applies entries from addr until it fails or the source
// changes.
func (d *Database) streamLog(ctx context.Context, addr string, sourceVersion uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.cancelOnSourceChange(ctx, cancel, sourceVersion)
	conn, err := d.connectPrimary(ctx, addr)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	for {
		if err := d.faults.waitWhileHung(ctx); err != nil {
			return err
		}
		entries, primaryTerm, err := d.fetch(ctx, conn)
		if isCode(err, codePointNotInLog) {
			err = d.discardTail(ctx, conn, sourceVersion)
		}
		if err != nil {
			return err
		}
		if err := d.applyAll(ctx, entries, primaryTerm, sourceVersion); err != nil {
			return err
		}
	}
}

// cancelOnSourceChange cancels a replication stream when its source is replaced.
func (d *Database) cancelOnSourceChange(ctx context.Context, cancel context.CancelFunc, sourceVersion uint64) {
	defer cancel()
	for {
		_, current, changed := d.source()
		if current != sourceVersion {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Database) connectPrimary(ctx context.Context, addr string) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable", host, port))
	if err != nil {
		return nil, err
	}
	config.User, config.Password = d.options.User, d.options.Password
	config.Database = string(d.options.Group)
	config.RuntimeParams = map[string]string{paramControl: "on"}
	config.ConnectTimeout = logTimeout
	config.DialFunc = pgconn.DialFunc(d.options.Dial)
	return pgconn.ConnectConfig(ctx, config)
}

func closeConn(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), replicationRetryDelay)
	defer cancel()
	if err := conn.Close(ctx); err != nil {
		klog.V(2).Infof("standin: close replication connection: %v", err)
	}
}

func isCode(err error, code string) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == code
}

// fetch requests the entries after the database's point from the primary.
func (d *Database) fetch(ctx context.Context, conn *pgconn.PgConn) ([]entry, topo.Term, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	query := fmt.Sprintf("SELECT cicadacove_log('%s', %d, %d)", d.Status().Point, logBatchEntries, logWait.Milliseconds())
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return nil, 0, err
	}
	var entries []entry
	var primaryTerm topo.Term
	for _, row := range results[0].Rows {
		e, term, err := decodeEntry(row)
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, e)
		primaryTerm = term
	}
	return entries, primaryTerm, nil
}

func decodeEntry(row [][]byte) (entry, topo.Term, error) {
	if len(row) != len(logColumns) {
		return entry{}, 0, fmt.Errorf("log row has %d columns", len(row))
	}
	var numbers [4]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(string(row[i]), 10, 64)
		if err != nil {
			return entry{}, 0, fmt.Errorf("log column %s: %w", logColumns[i].name, err)
		}
		numbers[i] = n
	}
	e := entry{
		Point:       topo.Point{Term: topo.Term(numbers[1]), Position: topo.Position(numbers[2])},
		CommittedAt: time.Unix(0, int64(numbers[3])),
	}
	if err := json.Unmarshal(row[4], &e.Statements); err != nil {
		return entry{}, 0, fmt.Errorf("log statements: %w", err)
	}
	return e, topo.Term(numbers[0]), nil
}

// applyAll applies entries in order. It delays each until its age is the
// replication lag.
func (d *Database) applyAll(ctx context.Context, entries []entry, primaryTerm topo.Term, sourceVersion uint64) error {
	for _, e := range entries {
		age := time.Since(e.CommittedAt)
		if err := sleep(ctx, time.Duration(d.lag.Load())-age); err != nil {
			return err
		}
		if err := d.applyEntry(e, primaryTerm, sourceVersion); err != nil {
			return err
		}
	}
	return nil
}

func (d *Database) applyEntry(e entry, primaryTerm topo.Term, sourceVersion uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.sourceVersion != sourceVersion {
		return errSourceChanged
	}
	if primaryTerm < d.state.fenced {
		return fmt.Errorf("fenced to term %d, the primary has term %d", d.state.fenced, primaryTerm)
	}
	if e.Point.Position != d.state.point().Position+1 {
		return fmt.Errorf("entry %s does not follow %s", e.Point, d.state.point())
	}
	if err := d.engine.apply(e); err != nil {
		return err
	}
	d.state.log = append(d.state.log, e)
	d.state.term = e.Point.Term
	d.state.notify()
	return nil
}

// discardTail discards the entries that are not in the primary's log, and closes
// all sessions.
func (d *Database) discardTail(ctx context.Context, conn *pgconn.PgConn, sourceVersion uint64) error {
	common, err := d.commonPrefix(ctx, conn)
	if err != nil {
		return err
	}
	if err := d.truncate(common, sourceVersion); err != nil {
		return err
	}
	d.closeSessions()
	return nil
}

// commonPrefix returns the length of the common prefix of this log and the
// primary's log.
func (d *Database) commonPrefix(ctx context.Context, conn *pgconn.PgConn) (int, error) {
	d.mu.Lock()
	own := d.state.log
	d.mu.Unlock()
	var searchErr error
	common := sort.Search(len(own), func(i int) bool {
		_, err := conn.Exec(ctx, fmt.Sprintf("SELECT cicadacove_log('%s', 0, 0)", own[i].Point)).ReadAll()
		if err != nil && !isCode(err, codePointNotInLog) {
			searchErr = errors.Join(searchErr, err)
		}
		return err != nil
	})
	return common, searchErr
}

// truncate keeps the first entries of the log and rebuilds the contents from
// them.
func (d *Database) truncate(keep int, sourceVersion uint64) error {
	rebuilt, err := newEngine()
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.sourceVersion != sourceVersion {
		return errors.Join(errSourceChanged, rebuilt.close())
	}
	for _, e := range d.state.log[:keep] {
		if err := rebuilt.apply(e); err != nil {
			return errors.Join(err, rebuilt.close())
		}
	}
	klog.Infof("standin: %s: discarded %d entries after position %d", d.options.ID, len(d.state.log)-keep, keep)
	old := d.engine
	d.engine = rebuilt
	d.state.log = slices.Clone(d.state.log[:keep])
	d.incarnation.Store(nextIncarnation())
	d.state.notify()
	return old.close()
}
