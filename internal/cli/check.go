package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/spf13/cobra"

	"github.com/coltsfootbay/coltsfootbay/internal/dynamic"
	"github.com/coltsfootbay/coltsfootbay/internal/settings"
	"github.com/coltsfootbay/coltsfootbay/internal/tomlfile"
	"github.com/coltsfootbay/coltsfootbay/internal/wire"
)

// Kinds of files that the command check accepts.
const (
	fileEntry    = "entry"
	fileAgent    = "agent"
	fileDocument = "document"
)

// maxCheckBytes limits the size of a file. It exceeds the limit of documents,
// 1 MiB, because larger documents are reported as a fault of their own.
const maxCheckBytes = 2 << 20

func newCheck() *cobra.Command {
	var kind string
	c := &cobra.Command{
		Use:   "check [--kind entry|agent|document] FILES...",
		Short: "Check settings and documents offline",
		Long: `Check settings and documents offline.

Each fault is printed on its own line with file, line and allowed values. A
document is named by its directory and base name, such as templates/clerk.toml.
References between the given documents that have no effect are printed as
inactive; they are no faults. Without --kind, files in the directories accounts,
models, services and templates are documents, and other files are settings of an
agent if they have a table backend_server, or else of an entry.

The exit status is 1 if there are faults.`,
		Example: `  coltsfootbay check entry.toml agent.toml
  coltsfootbay check --kind document models/*.toml templates/*.toml accounts/*.toml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error { return runCheck(cmd.OutOrStdout(), kind, files) },
	}
	c.Flags().StringVar(&kind, "kind", "", "kind of all files: entry, agent or document (default: by name and content)")
	return c
}

func runCheck(w io.Writer, kind string, files []string) error {
	switch kind {
	case "", fileEntry, fileAgent, fileDocument:
	default:
		return fmt.Errorf("--kind %q is not one of entry, agent, document", kind)
	}
	c := checker{w: w, paths: map[string]string{}}
	for _, file := range files {
		c.check(kind, file)
	}
	c.printInactive()
	if c.faults > 0 {
		return errReported
	}
	_, err := fmt.Fprintf(w, "%d files without faults\n", len(files))
	return err
}

// checker collects the valid documents and counts the faults.
type checker struct {
	w         io.Writer
	faults    int
	documents []wire.Document
	// paths maps the name of each document to its file.
	paths map[string]string
}

func (c *checker) check(kind, file string) {
	data, err := readBounded(file)
	if err != nil {
		c.report(file, err)
		return
	}
	if kind == "" {
		kind = detectKind(file, data)
	}
	switch kind {
	case fileEntry:
		_, err = settings.ParseEntry(file, data)
	case fileAgent:
		_, err = settings.ParseAgent(file, data)
	case fileDocument:
		err = c.checkDocument(file, data)
	}
	c.report(file, err)
}

func (c *checker) checkDocument(file string, data []byte) error {
	// All documents get the same revision, because files have none. Compute then
	// resolves conflicts in favor of the lower name.
	d := wire.Document{Name: documentName(file), Revision: 1, Body: string(data)}
	if first, ok := c.paths[d.Name]; ok {
		return fmt.Errorf("document %s is already given by %s", d.Name, first)
	}
	c.paths[d.Name] = file
	if err := dynamic.Validate(d); err != nil {
		return err
	}
	c.documents = append(c.documents, d)
	return nil
}

// report prints an error's faults with the name of the file and counts them.
func (c *checker) report(file string, err error) {
	if err == nil {
		return
	}
	var faults tomlfile.Faults
	if !errors.As(err, &faults) {
		faults = tomlfile.Faults{{File: file, Problem: err.Error()}}
	}
	for _, f := range faults {
		f.File = file
		_, _ = fmt.Fprintln(c.w, f.Error())
	}
	c.faults += len(faults)
}

func (c *checker) printInactive() {
	for _, i := range dynamic.Compute(c.documents).Inactive {
		_, _ = fmt.Fprintf(c.w, "%s: inactive: %s: %s\n", c.paths[i.Document], i.Reference, i.Reason)
	}
}

func documentName(file string) string {
	base := strings.TrimSuffix(filepath.Base(file), ".toml")
	return filepath.Base(filepath.Dir(file)) + "/" + base
}

func detectKind(file string, data []byte) string {
	switch filepath.Base(filepath.Dir(file)) {
	case "accounts", "models", "services", "templates":
		return fileDocument
	}
	// The text is matched without parsing, which also works for files with syntax
	// errors.
	if backendServerTable.Match(data) {
		return fileAgent
	}
	return fileEntry
}

var backendServerTable = regexp.MustCompile(`(?m)^\s*\[?backend_server\b`)

func readBounded(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxCheckBytes+1))
	if err == nil && len(data) > maxCheckBytes {
		err = fmt.Errorf("the file has more than %d bytes", maxCheckBytes)
	}
	return data, err
}
