// Command wigeontiller-standin runs one stand-in for an outside system.
package main

import (
	"os"

	"github.com/wigeontiller/wigeontiller/standin/standincli"
)

func main() {
	os.Exit(standincli.Run(os.Args[1:], os.Stderr))
}
