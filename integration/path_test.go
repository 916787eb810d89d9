package integration

import (
	"context"
	"os/exec"
	"testing"
	"time"
)

// Guards against a fleet that starts but violates a guarantee when an entry process
// and an engine are killed under load: the demo checks every answer.
func TestDemo(t *testing.T) {
	runs := amount(1, 5)
	for range runs {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		out, err := exec.CommandContext(ctx, *binaries+"/demo", "--bin", *binaries).CombinedOutput()
		cancel()
		if err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
	}
	proved(t, "demo", "runs", runs)
}
