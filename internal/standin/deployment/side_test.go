package deployment_test

import (
	"context"
	"net"
	"net/url"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
)

// heldPorts is how many ports each of the other sockets' owners holds, so that a port
// that is given up for a moment is likely to be taken.
const heldPorts = 1500

var _ = Describe("deployments side by side", func() {
	It("all start while other sockets take and leave ports", func() {
		// All deployments of a process share an address of their own.
		first, err := url.Parse(start(deployment.SmallOptions()).URL(0))
		Expect(err).NotTo(HaveOccurred())
		busy, stop := context.WithCancel(context.Background())
		var others sync.WaitGroup
		for range 4 {
			others.Go(func() {
				var held []net.Listener
				for busy.Err() == nil {
					l, err := net.Listen("tcp", first.Hostname()+":0")
					if err != nil {
						continue
					}
					if held = append(held, l); len(held) > heldPorts {
						_ = held[0].Close()
						held = held[1:]
					}
				}
				for _, l := range held {
					_ = l.Close()
				}
			})
		}
		started := make(chan error, 6)
		for range cap(started) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				d, err := deployment.Start(ctx, deployment.SmallOptions())
				if err == nil {
					d.Close()
				}
				started <- err
			}()
		}
		for range cap(started) {
			Expect(<-started).To(Succeed())
		}
		stop()
		others.Wait()
	})
})
