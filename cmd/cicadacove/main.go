// Command cicadacove runs a database proxy with session consistency.
package main

import (
	"os"

	"github.com/cicadacove/cicadacove/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
