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

// advanceLoop ends tasks when their time has come.
func (e *Executor) advanceLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.rearm:
		}
		timer.Reset(e.advance())
	}
}

// advance ends what is due and returns the time until the next end.
func (e *Executor) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.FailAll = e.Faults.FailAll.Load()
	now := time.Now()
	for _, a := range e.machine.Advance(now) {
		e.queue(converter.Ack(a))
	}
	next, ok := e.machine.Next()
	if !ok {
		return time.Hour
	}
	return next.Sub(now)
}

// queue puts a final word into the next report, late when the fault says so.
func (e *Executor) queue(a *messages.WorkerAck) {
	late := time.Duration(e.Faults.LateAnswer.Load())
	if late == 0 {
		e.outbox = append(e.outbox, a)
		signal(e.kick)
		return
	}
	time.AfterFunc(late, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.outbox = append(e.outbox, a)
		signal(e.kick)
	})
}

// reportLoop announces the worker and reports at each interval, and at once when a task ends.
func (e *Executor) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(e.opts.Timing.Report)
	defer ticker.Stop()
	for {
		if !e.Faults.Silent.Load() {
			e.speak(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.kick:
		}
	}
}

func (e *Executor) speak(ctx context.Context) {
	if err := e.trySpeak(ctx); err != nil && ctx.Err() == nil {
		e.opts.Log.Debug("report failed", zap.String("worker", e.opts.Announcement.GetName()), zap.Error(err))
		e.mu.Lock()
		// The next try goes through another entry, over a new connection.
		e.home = ""
		e.entry++
		e.mu.Unlock()
		e.client.CloseIdleConnections()
	}
}

func (e *Executor) trySpeak(ctx context.Context) error {
	e.mu.Lock()
	e.renewIncarnation(time.Now())
	announce, leaving := e.announce, e.leaving
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
		e.announce = false
	}
	return nil
}

func (e *Executor) sendReport(ctx context.Context) error {
	e.mu.Lock()
	r := &messages.WorkerReport{Incarnation: e.opts.Announcement.GetIncarnation(), Running: e.machine.Running(), Acks: e.outbox}
	e.mu.Unlock()
	sent := time.Now()
	renewal := &messages.Renewal{}
	path := fmt.Sprintf("/v1/workers/%s/report?place=%s", e.opts.Announcement.GetName(), e.opts.Announcement.GetPlace())
	if err := e.post(ctx, path, r, renewal); err != nil {
		return err
	}
	e.renew(sent, r, renewal)
	return nil
}

func (e *Executor) renew(sent time.Time, report *messages.WorkerReport, r *messages.Renewal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if report.GetIncarnation() != e.opts.Announcement.GetIncarnation() {
		return
	}
	e.outbox = e.outbox[len(report.GetAcks()):]
	if r.GetLease() > 0 {
		e.heard = sent
	}
	e.announce = e.announce || r.GetAnnounce()
	e.home = r.GetHome()
	until := sent.Add(time.Duration(r.GetLease()) * time.Millisecond)
	e.machine.Renew(r.GetRenewed(), until)
	signal(e.rearm)
}

func (e *Executor) target() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.home != "" {
		return e.home
	}
	return e.opts.Entries[e.entry%len(e.opts.Entries)].String()
}

func (e *Executor) post(ctx context.Context, path string, in, out proto.Message) error {
	body, err := converter.MarshalJSON(in)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.target()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
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
