package node

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against events and metrics that are missing from the operations page.
func TestEventsAndMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	event := regexp.MustCompile(`\.Record\("([a-z_]+)"`)
	metric := regexp.MustCompile(`\.(?:Counter|Gauge|Histogram)\("([a-z_]+)"`)
	for _, folder := range []string{"feed", "gateway", "node", "mapcontrol", "rankagent", "peers", "inbound"} {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, m := range event.FindAllSubmatch(content, -1) {
				if !strings.Contains(string(page), "`"+string(m[1])+"`") {
					t.Errorf("%s: the event %s is not on the page", path, m[1])
				}
			}
			for _, m := range metric.FindAllSubmatch(content, -1) {
				if !strings.Contains(string(page), "`coltsfootbay_"+string(m[1])+"`") {
					t.Errorf("%s: the metric %s is not on the page", path, m[1])
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
