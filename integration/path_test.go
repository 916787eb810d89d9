package integration

import (
	"context"
	"os/exec"
	"testing"
	"time"
)

// Guards against a fleet that starts but breaks a promise when an entry process
// and an engine are killed under load: the demo checks every answer.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	out, err := exec.CommandContext(ctx, *binaries+"/demo", "--bin", *binaries).CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	proved(t, "demo")
}
