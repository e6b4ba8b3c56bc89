package executor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/converter"
	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

const maxReplyBytes = 8 << 20

// advanceLoop calls advance whenever a task is due to end.
func (e *Executor) advanceLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.deadlineChanged:
		}
		timer.Reset(e.advance())
	}
}

// advance ends the tasks that are due and returns the time until the next one is.
func (e *Executor) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.FailAll = e.Faults.FailAll.Load()
	now := time.Now()
	for _, a := range e.machine.Advance(now) {
		e.queueAck(converter.EncodeAck(a))
	}
	next, ok := e.machine.Next()
	if !ok {
		return time.Hour
	}
	return next.Sub(now)
}

// queueAck adds a final acknowledgement to the next report, after the injected delay if there is one.
func (e *Executor) queueAck(a *messages.WorkerAck) {
	delay := time.Duration(e.Faults.ReportDelay.Load())
	if delay == 0 {
		e.pendingAcks = append(e.pendingAcks, a)
		signal(e.reportDue)
		return
	}
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pendingAcks = append(e.pendingAcks, a)
		signal(e.reportDue)
	})
}

// reportLoop announces the worker if necessary and sends a report at each interval and whenever a task ends.
func (e *Executor) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(e.opts.Timing.Report)
	defer ticker.Stop()
	for {
		if !e.Faults.Unresponsive.Load() {
			e.sendUpdate(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.reportDue:
		}
	}
}

func (e *Executor) sendUpdate(ctx context.Context) {
	if err := e.trySendUpdate(ctx); err != nil && ctx.Err() == nil {
		e.opts.Log.Debug("failed to send worker report", zap.String("worker", e.opts.Announcement.GetName()), zap.Error(err))
		e.mu.Lock()
		// The next attempt uses another entry and a new connection.
		e.home = ""
		e.entryIndex++
		e.mu.Unlock()
		e.client.CloseIdleConnections()
	}
}

func (e *Executor) trySendUpdate(ctx context.Context) error {
	e.mu.Lock()
	e.renewIncarnation(time.Now())
	announce, leaving := e.announcementDue, e.leaving
	a := proto.Clone(e.opts.Announcement).(*messages.Announcement)
	e.mu.Unlock()
	a.Leaving = leaving
	if announce {
		if err := e.sendAnnouncement(ctx, a); err != nil {
			return err
		}
	}
	return e.sendReport(ctx)
}

func (e *Executor) sendAnnouncement(ctx context.Context, a *messages.Announcement) error {
	if err := e.post(ctx, "/v1/workers", a, nil); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving == a.GetLeaving() && e.opts.Announcement.GetIncarnation() == a.GetIncarnation() {
		e.announcementDue = false
	}
	return nil
}

func (e *Executor) sendReport(ctx context.Context) error {
	e.mu.Lock()
	r := &messages.WorkerReport{Incarnation: e.opts.Announcement.GetIncarnation(), Running: e.machine.Running(), Acks: e.pendingAcks}
	e.mu.Unlock()
	sent := time.Now()
	renewal := &messages.Renewal{}
	path := fmt.Sprintf("/v1/workers/%s/report?place=%s", e.opts.Announcement.GetName(), e.opts.Announcement.GetPlace())
	if err := e.post(ctx, path, r, renewal); err != nil {
		return err
	}
	e.applyRenewal(sent, r, renewal)
	return nil
}

func (e *Executor) applyRenewal(sent time.Time, report *messages.WorkerReport, renewal *messages.Renewal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if report.GetIncarnation() != e.opts.Announcement.GetIncarnation() {
		return
	}
	e.pendingAcks = e.pendingAcks[len(report.GetAcks()):]
	if renewal.GetLease() > 0 {
		e.lastContact = sent
	}
	e.announcementDue = e.announcementDue || renewal.GetAnnounce()
	e.home = renewal.GetHome()
	until := sent.Add(time.Duration(renewal.GetLease()) * time.Millisecond)
	e.machine.Renew(renewal.GetRenewed(), until)
	signal(e.deadlineChanged)
}

func (e *Executor) target() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.home != "" {
		return e.home
	}
	return e.opts.Entries[e.entryIndex%len(e.opts.Entries)].String()
}

func (e *Executor) post(ctx context.Context, path string, in, out proto.Message) error {
	body, err := converter.MarshalJSON(in)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.target()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(reply))
	}
	if out == nil {
		return nil
	}
	return converter.UnmarshalJSON(reply, out)
}
