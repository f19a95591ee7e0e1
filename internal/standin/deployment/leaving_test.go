package deployment_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/platform/standin"
)

var _ = Describe("an engine that the platform lists as leaving", func() {
	It("gets no new work, and is not taken for an entry host", func(ctx SpecContext) {
		d := start(oneZone())
		leaving := d.Engines()[0]
		list := []standin.HostEntry{{Name: "dispatch-engine-1", Zone: "addis-a", Address: leaving.Address(), Leaving: true}}
		for _, s := range d.Settings() {
			list = append(list, standin.HostEntry{Name: s.Name, Zone: s.Zone, Address: s.PeerAddress})
		}
		round := 0
		// runs sends prompts through all hosts and counts those that the engine ran.
		runs := func() int {
			round++
			count := 0
			for i := range 24 {
				prompt := fmt.Sprintf("round %d prompt %d", round, i)
				client := clientOf(d, i%3)
				_, err := client.Chat.Completions.New(ctx, chat(prompt))
				Expect(err).NotTo(HaveOccurred())
				count += leaving.RequestCount(prompt)
			}
			return count
		}
		Eventually(runs, patience).Should(BeNumerically(">", 0), "it gets work before")
		d.Platform().SetHosts(list)
		Eventually(runs, patience).Should(BeZero())
		for range 5 {
			Expect(runs()).To(BeZero())
		}
	})
})
