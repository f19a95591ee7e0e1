// Package loopback gives tests and small deployments addresses of their own.
package loopback

import (
	"fmt"
	"os"
)

// ProcessAddress returns a loopback address that no other process uses, so that a host can
// open its ports again after it was stopped.
func ProcessAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}
