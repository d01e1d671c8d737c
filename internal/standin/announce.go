package standin

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cicadacove/cicadacove/internal/core/topo"
	"k8s.io/klog/v2"
)

const (
	announcePath    = "/v1/announce"
	signatureHeader = "Cicadacove-Signature"
	// announceTimeout limits one attempt to announce to one entry instance.
	announceTimeout = time.Second
	// maxAnnounceResponseBytes limits the part of a response body that the
	// database reads.
	maxAnnounceResponseBytes = 4096
)

// Leave announces that the database is leaving and accepts no new work.
func (d *Database) Leave() {
	d.leaving.Store(true)
	d.requestAnnouncement()
}

// Leaving reports whether Leave was called since the last start.
func (d *Database) Leaving() bool { return d.leaving.Load() }

// requestAnnouncement makes announceLoop announce without waiting for the next
// interval.
func (d *Database) requestAnnouncement() {
	select {
	case d.announceRequests <- struct{}{}:
	default:
	}
}

func (d *Database) announceLoop(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DialContext: d.options.Dial}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(d.options.AnnounceEvery)
	defer ticker.Stop()
	for d.faults.waitWhileHung(ctx) == nil {
		if err := d.announce(ctx, client); err != nil && ctx.Err() == nil {
			klog.V(1).Infof("standin: %s: cannot deliver announcement: %v", d.options.ID, err)
		}
		select {
		case <-ticker.C:
		case <-d.announceRequests:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends one announcement to the first entry instance that accepts it.
func (d *Database) announce(ctx context.Context, client *http.Client) error {
	body, err := json.Marshal(d.announcement())
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	var lastErr error
	for _, base := range d.options.AnnounceTo {
		if lastErr = d.post(ctx, client, base+announcePath, body); lastErr == nil {
			return nil
		}
	}
	return lastErr
}

func (d *Database) announcement() topo.Announcement {
	s := d.Status()
	return topo.Announcement{
		Group:       s.Group,
		ID:          s.ID,
		Addr:        d.Addr(),
		Zone:        d.options.Zone,
		Role:        s.Role,
		Point:       s.Point,
		FencedTerm:  s.FencedTerm,
		Slots:       d.options.Slots,
		Connections: d.options.Connections,
		Leaving:     d.leaving.Load(),
		Incarnation: d.incarnation.Load(),
		Seq:         d.announceSeq.Add(1),
	}
}

func (d *Database) post(ctx context.Context, client *http.Client, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if len(d.options.AnnounceKey) > 0 {
		mac := hmac.New(sha256.New, d.options.AnnounceKey)
		mac.Write(body)
		request.Header.Set(signatureHeader, hex.EncodeToString(mac.Sum(nil)))
	}
	resp, err := client.Do(request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnnounceResponseBytes)); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %s", url, resp.Status)
	}
	return nil
}
