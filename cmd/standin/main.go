// Command standin runs the simulated external systems that tests use.
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
