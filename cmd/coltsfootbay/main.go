// Command coltsfootbay is the load balancer's main binary.
package main

import (
	"os"

	"github.com/coltsfootbay/coltsfootbay/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
