// Command kingcupquay runs an entry host, a whole small deployment for
// newcomers, and the calls of operators. All of it stands in the library; see
// internal/operator/command.
package main

import (
	"os"

	"github.com/kingcupquay/kingcupquay/internal/operator/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
