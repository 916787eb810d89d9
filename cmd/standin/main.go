// Command standin runs the test-only stand-ins for outside systems.
package main

import (
	"os"

	"github.com/coltsfootbay/coltsfootbay/internal/standin"
)

func main() {
	if standin.Command().Execute() != nil {
		os.Exit(1)
	}
}
