package commander

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
)

// checkCommand validates documents without sending them.
type checkCommand struct {
	c        *Commander
	Settings []string `long:"settings" description:"settings of a daemon"`
	Manifest []string `long:"manifest" description:"manifest"`
	Job      []string `long:"job" description:"body of a job"`
}

// Execute validates each file and stops at the first error.
func (k *checkCommand) Execute([]string) error {
	if len(k.Settings)+len(k.Manifest)+len(k.Job) == 0 {
		return fmt.Errorf("%w: give --settings, --manifest or --job", errUsage)
	}
	checks := []struct {
		paths []string
		check func(path string, text []byte) error
	}{
		{k.Settings, func(path string, text []byte) error {
			_, err := parser.ParseSettings(path, text)
			return err
		}},
		{k.Manifest, func(path string, text []byte) error {
			_, err := parser.ParseManifest(path, text)
			return err
		}},
		{k.Job, func(_ string, text []byte) error {
			_, err := parser.ParseJob(text)
			return err
		}},
	}
	for _, c := range checks {
		for _, path := range c.paths {
			text, err := readFile(path)
			if err != nil {
				return err
			}
			if err := c.check(path, text); err != nil {
				return err
			}
			k.c.println(k.c.out, path+": ok")
		}
	}
	return nil
}

// applyCommand applies a manifest.
type applyCommand struct {
	c    *Commander
	Args struct {
		File string `positional-arg-name:"manifest" required:"true" description:"manifest file, - for standard input"`
	} `positional-args:"true"`
}

// Execute validates the manifest locally and then sends it.
func (a *applyCommand) Execute([]string) error {
	text, err := readFile(a.Args.File)
	if err != nil {
		return err
	}
	if _, err := parser.ParseManifest(a.Args.File, text); err != nil {
		return err
	}
	return a.c.withClient(func(ctx context.Context, cl *client.Client) error {
		version, err := cl.Apply(ctx, text)
		if err != nil {
			return err
		}
		if a.c.globals.JSON {
			return a.c.printJSON(map[string]uint64{"version": version})
		}
		a.c.println(a.c.out, fmt.Sprintf("version %d is in force", version))
		return nil
	})
}

// submitCommand submits a job.
type submitCommand struct {
	c    *Commander
	Key  string        `long:"key" required:"true" description:"key of the job; the same key is the same job"`
	Wait time.Duration `long:"wait" description:"wait for the answer for this long"`
	Args struct {
		File string `positional-arg-name:"job" required:"true" description:"job file, - for standard input"`
	} `positional-args:"true"`
}

// Execute submits the job and, with --wait, waits for its answer.
func (s *submitCommand) Execute([]string) error {
	text, err := readFile(s.Args.File)
	if err != nil {
		return err
	}
	job, err := parser.ParseJob(text)
	if err != nil {
		return err
	}
	return s.c.withClient(func(ctx context.Context, cl *client.Client) error {
		view, err := cl.Submit(ctx, s.Key, job)
		if err != nil {
			return err
		}
		if s.Wait == 0 || view.Answer != nil {
			return s.c.printJob(view)
		}
		return s.c.awaitAnswer(cl, s.Key, s.Wait)
	})
}

// awaitAnswer waits for the answer of a job and prints it.
func (c *Commander) awaitAnswer(cl *client.Client, key string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	view, err := cl.Answer(ctx, key)
	if errors.Is(err, client.ErrUnreachable) && ctx.Err() != nil || err == nil && view.Answer == nil {
		c.println(c.errOut, "no answer yet")
		return exitError{ExitPending}
	}
	if err != nil {
		return err
	}
	return c.printJob(view)
}

// answerCommand waits for the answer of a job.
type answerCommand struct {
	c    *Commander
	Wait time.Duration `long:"wait" default:"30s" description:"wait for this long"`
	Args struct {
		Key string `positional-arg-name:"key" required:"true" description:"key of the job"`
	} `positional-args:"true"`
}

// Execute waits for the answer and prints it.
func (a *answerCommand) Execute([]string) error {
	return a.c.withClient(func(_ context.Context, cl *client.Client) error {
		return a.c.awaitAnswer(cl, a.Args.Key, a.Wait)
	})
}

// cancelCommand cancels jobs.
type cancelCommand struct {
	c    *Commander
	Args struct {
		Keys []string `positional-arg-name:"key" required:"1" description:"keys of the jobs"`
	} `positional-args:"true"`
}

// Execute cancels all keys in one request and prints the state of each job.
func (a *cancelCommand) Execute([]string) error {
	return a.c.withClient(func(ctx context.Context, cl *client.Client) error {
		views, err := cl.Cancel(ctx, a.Args.Keys)
		if a.c.globals.JSON {
			if printErr := a.c.printJSON(views); printErr != nil {
				return printErr
			}
			return err
		}
		for _, v := range views {
			// A cancelled job that did not run is the requested result, so its exit code is ignored.
			_ = a.c.printJob(v)
		}
		return err
	})
}

// listCommand prints one of the operator views as a table or as JSON.
type listCommand struct {
	c       *Commander
	path    string
	columns []string
	All     bool `long:"all" description:"with jobs: answered ones too"`
}

// Execute reads the view and prints it.
func (l *listCommand) Execute([]string) error {
	path := l.path
	if l.All {
		path += "?all=true"
	}
	return l.c.withClient(func(ctx context.Context, cl *client.Client) error {
		var rows []map[string]any
		if err := cl.Get(ctx, path, &rows); err != nil {
			return err
		}
		if l.c.globals.JSON {
			return l.c.printJSON(rows)
		}
		return l.c.printTable(l.columns, rows)
	})
}

// drainCommand drains the first entry.
type drainCommand struct{ c *Commander }

// Execute drains the first entry, which then fails its readiness check.
func (d *drainCommand) Execute([]string) error {
	return d.c.withClient(func(ctx context.Context, cl *client.Client) error {
		if err := cl.Drain(ctx); err != nil {
			var problem *client.Problem
			if errors.As(err, &problem) {
				return err
			}
			return fmt.Errorf("%w: %w", client.ErrUnreachable, err)
		}
		d.c.println(d.c.out, "draining")
		return nil
	})
}

// evacuateCommand starts or ends the evacuation of a place.
type evacuateCommand struct {
	c    *Commander
	over bool
	Args struct {
		Place string `positional-arg-name:"place" required:"true" description:"place of the workers"`
	} `positional-args:"true"`
}

// Execute sends the order, which is acknowledged once it is committed. It may be repeated.
func (e *evacuateCommand) Execute([]string) error {
	return e.c.withClient(func(ctx context.Context, cl *client.Client) error {
		reply, err := cl.Evacuate(ctx, e.Args.Place, e.over)
		if err != nil {
			return err
		}
		if e.c.globals.JSON {
			return e.c.printJSON(reply)
		}
		e.c.println(e.c.out, reply.Place+" is "+reply.Status)
		return nil
	})
}

// historyCommand prints the recorded history of one subject, or of all.
type historyCommand struct {
	listCommand
	Subject string `long:"subject" description:"job, worker, place, manifest version or organisation"`
	Org     string `long:"organisation" description:"organisation whose records to show"`
}

// Execute reads the latest records and prints them.
func (h *historyCommand) Execute(args []string) error {
	query := url.Values{}
	query.Set("subject", h.Subject)
	query.Set("organisation", h.Org)
	h.path += "?" + query.Encode()
	return h.listCommand.Execute(args)
}
