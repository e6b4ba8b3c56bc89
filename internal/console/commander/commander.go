// Package commander is the command line for callers, operators and the pipeline. It turns
// arguments into requests and replies into tables or JSON; only that may live here.
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

// Exit codes of the command line. Scripts may depend on them.
const (
	ExitOK          = 0
	ExitFailure     = 1 // something unexpected
	ExitUsage       = 2 // bad arguments, files or documents
	ExitRefused     = 3 // an entry refused the request
	ExitConflict    = 4 // the key or version stands with other content
	ExitNotRun      = 5 // the job did not run and will not
	ExitFailed      = 6 // the job ran and failed
	ExitUnsure      = 7 // it is not known whether the job ran
	ExitUnreachable = 8 // no entry answered; the outcome is open
	ExitPending     = 9 // no answer within the wait
)

// exitError carries the exit code of a command that has said what it had to say.
type exitError struct{ code int }

func (e exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

// globals are the options of all commands.
type globals struct {
	Entry   []string      `short:"e" long:"entry" env:"BLUEBELLGAUGE_ENTRY" env-delim:"," description:"address of an entry, may be repeated; tried in turn"`
	Token   string        `long:"token" env:"BLUEBELLGAUGE_TOKEN" description:"file with the token"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"bound on the whole command"`
}

// Commander runs one command.
type Commander struct {
	out     io.Writer
	errs    io.Writer
	globals globals
}

// New returns a commander that prints to the writers.
func New(out, errs io.Writer) *Commander { return &Commander{out: out, errs: errs} }

// Run runs the command in the arguments and returns the exit code.
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
		c.print(c.out, usage.Message)
		return ExitOK
	}
	c.print(c.errs, "bluebellgauge: "+err.Error())
	return codeOf(err)
}

func (c *Commander) print(w io.Writer, text string) {
	// There is nobody left to tell when the terminal has gone.
	_, _ = fmt.Fprintln(w, text)
}

func codeOf(err error) int {
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

// connect returns a client and a context for the whole command.
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

// with runs a function with a client.
func (c *Commander) with(run func(context.Context, *client.Client) error) error {
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

// printTable prints rows of JSON objects with the chosen columns.
func (c *Commander) printTable(columns []string, rows []map[string]any) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, name := range columns {
		_, _ = fmt.Fprintf(w, "%s\t", name)
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range rows {
		for _, name := range columns {
			_, _ = fmt.Fprintf(w, "%s\t", cell(row[name]))
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

func cell(v any) string {
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

// printView prints a job and turns its answer into an exit code.
func (c *Commander) printView(v scheduler.JobView) error {
	if c.globals.JSON {
		if err := c.printJSON(v); err != nil {
			return err
		}
		return exitOf(v)
	}
	if v.Answer == nil {
		c.print(c.out, fmt.Sprintf("%s %s", v.ID, v.Phase))
		return exitOf(v)
	}
	c.print(c.out, fmt.Sprintf("%s %s %s", v.ID, v.Answer.Outcome, v.Answer.Reason))
	if len(v.Answer.Body) > 0 {
		c.print(c.out, string(v.Answer.Body))
	}
	return exitOf(v)
}

func exitOf(v scheduler.JobView) error {
	if v.Answer == nil {
		return nil
	}
	switch v.Answer.Outcome {
	case scheduler.NotRun:
		return exitError{ExitNotRun}
	case scheduler.Failed:
		return exitError{ExitFailed}
	case scheduler.Unknown:
		return exitError{ExitUnsure}
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
