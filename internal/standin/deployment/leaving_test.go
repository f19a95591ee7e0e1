package deployment_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/platform/standin"
)

var _ = Describe("an engine that the platform lists as leaving", func() {
	It("gets no new requests and is not treated as an entry host", func(ctx SpecContext) {
		d := start(oneZone())
		leavingEngine := d.Engines()[0]
		list := []standin.HostEntry{{Name: "dispatch-engine-1", Zone: "addis-a", Address: leavingEngine.Address(), Leaving: true}}
		for _, s := range d.Settings() {
			list = append(list, standin.HostEntry{Name: s.Name, Zone: s.Zone, Address: s.PeerAddress})
		}
		round := 0
		// countRuns sends prompts through all hosts and counts those that the engine
		// ran.
		countRuns := func() int {
			round++
			count := 0
			for i := range 24 {
				prompt := fmt.Sprintf("round %d prompt %d", round, i)
				client := clientOf(d, i%3)
				_, err := client.Chat.Completions.New(ctx, chat(prompt))
				Expect(err).NotTo(HaveOccurred())
				count += leavingEngine.RequestCount(prompt)
			}
			return count
		}
		Eventually(countRuns, waitTimeout).Should(BeNumerically(">", 0), "the engine gets requests before it is listed as leaving")
		d.Platform().SetHosts(list)
		Eventually(countRuns, waitTimeout).Should(BeZero())
		for range 5 {
			Expect(countRuns()).To(BeZero())
		}
	})
})
