// Package commander implements the command line for callers, operators and automation. It turns arguments
// into requests and responses into tables or JSON, and holds no other logic.
package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/daemon/runner"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

// Exit codes of the command line. They are stable, since scripts depend on them.
const (
	ExitOK             = 0
	ExitFailure        = 1 // unexpected error
	ExitUsage          = 2 // bad arguments, files or documents
	ExitRefused        = 3 // an entry refused the request
	ExitConflict       = 4 // the key or version exists with different content
	ExitNotRun         = 5 // the job did not run and will not
	ExitFailed         = 6 // the job ran and failed
	ExitOutcomeUnknown = 7 // unknown whether the job ran
	ExitUnreachable    = 8 // no entry responded; the request may have taken effect
	ExitPending        = 9 // no answer within the wait
)

// exitError carries the exit code of a command that has already printed its output.
type exitError struct{ code int }

func (e exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

// globals are the options of all commands.
type globals struct {
	Entry   []string      `short:"e" long:"entry" env:"BLUEBELLGAUGE_ENTRY" env-delim:"," description:"address of an entry, may be repeated; tried in turn"`
	Token   string        `long:"token" env:"BLUEBELLGAUGE_TOKEN" description:"file with the token"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"bound on the whole command"`
}

// Commander parses and runs one command.
type Commander struct {
	out     io.Writer
	errOut  io.Writer
	globals globals
}

// New returns a commander that prints results to out and errors to errs.
func New(out, errs io.Writer) *Commander { return &Commander{out: out, errOut: errs} }

// Run runs the command given by args and returns the exit code.
func (c *Commander) Run(args []string) int {
	p := flags.NewNamedParser("bluebellgauge", flags.HelpFlag|flags.PassDoubleDash)
	if err := c.register(p); err != nil {
		return c.report(err)
	}
	_, err := p.ParseArgs(args)
	return c.report(err)
}

func (c *Commander) register(p *flags.Parser) error {
	if _, err := p.AddGroup("Common options", "", &c.globals); err != nil {
		return err
	}
	list := func(path string, columns ...string) *listCommand {
		return &listCommand{c: c, path: path, columns: columns}
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"check", "check settings and manifests without sending them", &checkCommand{c: c}},
		{"apply", "put a manifest in force", &applyCommand{c: c}},
		{"rollout", "show which daemons have the manifest in force", list("/v1/rollout", "name", "place", "version", "current", "draining", "keeper")},
		{"submit", "hand a job over", &submitCommand{c: c}},
		{"answer", "wait for the answer of a job", &answerCommand{c: c}},
		{"cancel", "cancel jobs", &cancelCommand{c: c}},
		{"jobs", "list jobs", list("/v1/jobs", "id", "phase", "attempt", "mode", "submitted", "reason")},
		{"workers", "list workers", list("/v1/workers", "name", "place", "rack", "service", "state", "slots", "jobs")},
		{"evacuate", "start nothing more on the workers of a place", &evacuateCommand{c: c}},
		{"return", "end the evacuation of a place", &evacuateCommand{c: c, over: true}},
		{"evacuations", "list the evacuated places", list("/v1/evacuations", "place", "since", "age", "by")},
		{"explain", "show where a job would start now and why it would wait, without submitting it", &explainCommand{c: c}},
		{"shapes", "show the guarantee of each organisation, in slots", list("/v1/shapes",
			"organisation", "Promised", "Held", "Borrowed", "Surplus", "Reclaiming", "waiting", "atrisk")},
		{"history", "show what was decided, when and why", &historyCommand{listCommand: *list("/v1/history", "time", "kind", "subject", "text")}},
		{"burn", "show the service-level burn of each objective", list("/v1/burn",
			"service", "organisation", "target", "within", "window", "jobs", "bad", "burn", "budget")},
		{"members", "list the members of the consensus", list("/v1/members", "name", "place", "address", "role")},
		{"demo", "run both sample users' fleets in this process", &demoCommand{c: c}},
		{"drain", "drain the first entry given", &drainCommand{c: c}},
	}
	for _, command := range commands {
		if _, err := p.AddCommand(command.name, command.short, "", command.data); err != nil {
			return err
		}
	}
	return nil
}

// report prints an error and returns its exit code.
func (c *Commander) report(err error) int {
	if err == nil {
		return ExitOK
	}
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		c.println(c.out, usage.Message)
		return ExitOK
	}
	c.println(c.errOut, "bluebellgauge: "+err.Error())
	return exitCode(err)
}

func (c *Commander) println(w io.Writer, text string) {
	// A failed write to the terminal cannot be reported anywhere.
	_, _ = fmt.Fprintln(w, text)
}

func exitCode(err error) int {
	var usage *flags.Error
	var document *parser.Error
	var problem *client.Problem
	switch {
	case errors.As(err, &usage), errors.As(err, &document), errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnreachable
	case errors.As(err, &problem) && problem.Code == "conflict":
		return ExitConflict
	case errors.As(err, &problem):
		return ExitRefused
	}
	return ExitFailure
}

var errUsage = errors.New("bad usage")

// connect returns a client and a context that bounds the whole command.
func (c *Commander) connect() (context.Context, context.CancelFunc, *client.Client, error) {
	if len(c.globals.Entry) == 0 {
		return nil, nil, nil, fmt.Errorf("%w: no --entry given", errUsage)
	}
	entries, err := client.ParseEntries(c.globals.Entry)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.globals.Token == "" {
		return nil, nil, nil, fmt.Errorf("%w: no --token given", errUsage)
	}
	token, err := runner.ReadToken(c.globals.Token)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.globals.Timeout)
	return ctx, cancel, client.New(entries, token), nil
}

// withClient runs a function with a connected client and closes it afterwards.
func (c *Commander) withClient(run func(context.Context, *client.Client) error) error {
	ctx, cancel, cl, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	defer cl.Close()
	return run(ctx, cl)
}

func (c *Commander) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints the given columns of rows of JSON objects.
func (c *Commander) printTable(columns []string, rows []map[string]any) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, name := range columns {
		_, _ = fmt.Fprintf(w, "%s\t", name)
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range rows {
		for _, name := range columns {
			_, _ = fmt.Fprintf(w, "%s\t", formatCell(row[name]))
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

func formatCell(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		if v == "" {
			return "-"
		}
		return v
	case float64:
		return fmt.Sprintf("%g", v)
	case []any:
		return fmt.Sprint(len(v))
	}
	return fmt.Sprint(v)
}

// printJob prints a job and returns the exit code of its outcome as an error.
func (c *Commander) printJob(v scheduler.JobView) error {
	if c.globals.JSON {
		if err := c.printJSON(v); err != nil {
			return err
		}
		return outcomeError(v)
	}
	if v.Answer == nil {
		c.println(c.out, fmt.Sprintf("%s %s", v.ID, v.Phase))
		return outcomeError(v)
	}
	c.println(c.out, fmt.Sprintf("%s %s %s", v.ID, v.Answer.Outcome, v.Answer.Reason))
	if len(v.Answer.Body) > 0 {
		c.println(c.out, string(v.Answer.Body))
	}
	return outcomeError(v)
}

func outcomeError(v scheduler.JobView) error {
	if v.Answer == nil {
		return nil
	}
	switch v.Answer.Outcome {
	case scheduler.NotRun:
		return exitError{ExitNotRun}
	case scheduler.Failed:
		return exitError{ExitFailed}
	case scheduler.Unknown:
		return exitError{ExitOutcomeUnknown}
	case scheduler.Done:
	}
	return nil
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return text, nil
}
