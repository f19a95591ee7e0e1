// Command kingcupquay runs an entry host or a small local deployment, and
// provides the command line of operators and callers. The implementation is in
// internal/operator/command.
package main

import (
	"os"

	"github.com/kingcupquay/kingcupquay/internal/operator/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
