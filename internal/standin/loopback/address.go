// Package loopback provides a loopback address per process for tests and small
// deployments.
package loopback

import (
	"fmt"
	"os"
)

// ProcessAddress returns a loopback address in 127.64.0.0/10 that is derived
// from the process ID. Other processes do not use it, so a host that was stopped
// can listen on the same ports again.
func ProcessAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}
