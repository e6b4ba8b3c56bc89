package commander

import (
	"context"
	"fmt"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
)

// explainCommand shows where a job would start now and why it would wait.
type explainCommand struct {
	c    *Commander
	ID   string `long:"id" description:"id of a job of a queue that is known already"`
	Args struct {
		File string `positional-arg-name:"description" description:"description of a job, - for standard input"`
	} `positional-args:"true"`
}

// Execute reads the explanation and prints it.
func (e *explainCommand) Execute([]string) error {
	if (e.ID == "") == (e.Args.File == "") {
		return fmt.Errorf("%w: give either a file or --id", errUsage)
	}
	ask := func(ctx context.Context, cl *client.Client) (client.Explanation, error) {
		return cl.ExplainJob(ctx, e.ID)
	}
	if e.ID == "" {
		text, err := readFile(e.Args.File)
		if err != nil {
			return err
		}
		d, err := parser.ParseDescription(text)
		if err != nil {
			return err
		}
		ask = func(ctx context.Context, cl *client.Client) (client.Explanation, error) { return cl.Explain(ctx, d) }
	}
	return e.c.withClient(func(ctx context.Context, cl *client.Client) error {
		x, err := ask(ctx, cl)
		if err != nil {
			return err
		}
		if e.c.globals.JSON {
			return e.c.printJSON(x)
		}
		return e.c.printExplanation(x)
	})
}

// printExplanation prints the refusal, or the phase and the tables that have rows.
func (c *Commander) printExplanation(x client.Explanation) error {
	if x.Refusal != "" {
		c.println(c.out, "would be refused: "+x.Refusal)
		return nil
	}
	c.println(c.out, "phase: "+x.Phase)
	for _, section := range []struct {
		title   string
		columns []string
		rows    []map[string]any
	}{
		{"would start now", []string{"occurrence", "step", "task", "worker", "rack", "place"}, x.Starts},
		{"would be stopped for it", []string{"job", "occurrence", "step", "task", "worker"}, x.Stops},
		{"would wait", []string{"occurrence", "step", "task", "tasks", "obstacle", "prefers"}, x.Waits},
	} {
		if len(section.rows) == 0 {
			continue
		}
		c.println(c.out, section.title+":")
		if err := c.printTable(section.columns, section.rows); err != nil {
			return err
		}
	}
	return nil
}
