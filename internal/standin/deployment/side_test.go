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

// portsPerGoroutine is the number of ports that each goroutine keeps open while
// it opens and closes listeners. It is large so that a port which a deployment
// closes even briefly is likely to be taken.
const portsPerGoroutine = 1500

var _ = Describe("concurrent deployments", func() {
	It("start while other listeners open and close ports", func() {
		// The deployments of a process share one loopback address, so the other
		// listeners must use it too.
		first, err := url.Parse(start(deployment.SmallOptions()).URL(0))
		Expect(err).NotTo(HaveOccurred())
		churnCtx, stopChurn := context.WithCancel(context.Background())
		var churn sync.WaitGroup
		for range 4 {
			churn.Go(func() {
				var listeners []net.Listener
				for churnCtx.Err() == nil {
					l, err := net.Listen("tcp", first.Hostname()+":0")
					if err != nil {
						continue
					}
					if listeners = append(listeners, l); len(listeners) > portsPerGoroutine {
						_ = listeners[0].Close()
						listeners = listeners[1:]
					}
				}
				for _, l := range listeners {
					_ = l.Close()
				}
			})
		}
		results := make(chan error, 6)
		for range cap(results) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				d, err := deployment.Start(ctx, deployment.SmallOptions())
				if err == nil {
					d.Close()
				}
				results <- err
			}()
		}
		for range cap(results) {
			Expect(<-results).To(Succeed())
		}
		stopChurn()
		churn.Wait()
	})
})
