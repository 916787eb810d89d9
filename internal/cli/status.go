package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// processStatus is the status of one process, or the error of its query.
type processStatus struct {
	Admin  string          `json:"admin"`
	Status json.RawMessage `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// statusColumns are the values that the table shows, in this order, if at least
// one process reports them; --json prints all values.
var statusColumns = []string{
	"process", "zone", "ready", "leaving", "config_revision", "platform_age_ms", "entries", "agents", "in_flight",
	"server", "kind", "server_up", "running", "queued", "slots", "tokens_per_second",
}

func newStatus() *cobra.Command {
	var flags adminFlags
	var asJSON bool
	c := &cobra.Command{
		Use:   "status --admin URL... --key-file FILE",
		Short: "Show the status of processes",
		Long: `Show the status of processes, one row each. --json prints the whole answers. The exit status is 1 if no
process answered.`,
		Example: `  coltsfootbay status --admin http://192.0.2.1:7002 --admin http://192.0.2.2:7002 --key-file admin.key
  coltsfootbay status --admin http://192.0.2.1:7002 --key-file admin.key --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			clients, err := flags.clients()
			if err != nil {
				return err
			}
			all, errs := queryStatus(cmd.Context(), clients)
			if err := printStatus(cmd.OutOrStdout(), all, asJSON); err != nil {
				return err
			}
			return printUnanswered(cmd.ErrOrStderr(), clients, errs)
		},
	}
	flags.add(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print a JSON array of the whole answers")
	return c
}

func queryStatus(ctx context.Context, clients []*adminClient) ([]processStatus, []error) {
	all := make([]processStatus, len(clients))
	errs := queryAll(clients, func(i int, c *adminClient) error {
		all[i].Admin = c.base
		err := c.get(ctx, "/admin/v1/status", &all[i].Status)
		if err != nil {
			all[i].Error = err.Error()
		}
		return err
	})
	return all, errs
}

func printStatus(w io.Writer, all []processStatus, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(all)
	}
	return printTable(w, all)
}

func printTable(w io.Writer, all []processStatus) error {
	rows := make([]map[string]string, len(all))
	for i, p := range all {
		rows[i] = plainValues(p.Status)
	}
	columns := slices.DeleteFunc(slices.Clone(statusColumns), func(name string) bool {
		return !slices.ContainsFunc(rows, func(row map[string]string) bool { return row[name] != "" })
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(append([]string{"admin"}, columns...), "\t"))
	for i, p := range all {
		_, _ = fmt.Fprintln(table, strings.Join(cells(p, columns, rows[i]), "\t"))
	}
	return table.Flush()
}

func cells(p processStatus, columns []string, row map[string]string) []string {
	out := []string{p.Admin}
	for i, name := range columns {
		value, ok := row[name]
		switch {
		case ok:
		case p.Error != "" && i == 0:
			value = "no answer"
		default:
			value = "-"
		}
		out = append(out, value)
	}
	return out
}

// plainValues returns the strings, numbers and booleans of a JSON object.
func plainValues(object json.RawMessage) map[string]string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(object, &fields) != nil {
		return nil
	}
	plain := map[string]string{}
	for name, value := range fields {
		text := string(value)
		if strings.HasPrefix(text, "{") || strings.HasPrefix(text, "[") {
			continue
		}
		plain[name] = strings.Trim(text, `"`)
	}
	return plain
}
