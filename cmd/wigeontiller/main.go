// Command wigeontiller runs entry nodes and gives them operators' commands.
package main

import (
	"os"

	"github.com/wigeontiller/wigeontiller/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
