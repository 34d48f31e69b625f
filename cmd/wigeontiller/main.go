// Command wigeontiller runs an entry node and sends operator commands to nodes.
package main

import (
	"os"

	"github.com/wigeontiller/wigeontiller/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
