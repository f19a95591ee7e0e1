package deployment_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/command"
	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
)

// oneZone has three hosts and six engines in one zone.
func oneZone() deployment.Options {
	o := deployment.SmallOptions()
	o.Zones = 1
	return o
}

var _ = Describe("a body that crashes engines", func() {
	It("crashes two at most, ends as a failed item, and its job completes", func(ctx SpecContext) {
		d := start(oneZone())
		for _, e := range d.Engines() {
			e.CrashOn("poison")
		}
		const n, bad = 60, 7
		prompt := func(i int) string {
			if i == bad {
				return "poison"
			}
			return fmt.Sprintf("route %d", i)
		}
		client := clientOf(d, 0)
		batch := submit(ctx, &client, items(n, prompt))
		Eventually(statusOf(ctx, &client, batch.ID), patience).Should(Equal("completed"))
		done, err := client.Batches.Get(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(done.RequestCounts.Failed).To(BeEquivalentTo(1))
		found := answers(ctx, &client, done.OutputFileID)
		Expect(found).To(HaveLen(n - 1))
		for i := range n {
			if i != bad {
				Expect(found[fmt.Sprintf("item-%d", i)]).To(Equal(engine.Answer(prompt(i), 0)))
			}
		}
		runs := 0
		for _, e := range d.Engines() {
			runs += e.RequestCount("poison")
		}
		Expect(runs).To(BeNumerically("<=", 2))
	})

	It("crashes two at most when its caller sends it again to each host, and an operator can lift it", func(ctx SpecContext) {
		d := start(oneZone())
		for _, e := range d.Engines() {
			e.CrashOn("poison")
		}
		refused := func(host int) int {
			client := clientOf(d, host)
			_, err := client.Chat.Completions.New(ctx, chat("poison"))
			Expect(err).To(HaveOccurred())
			var text bytes.Buffer
			fmt.Fprint(&text, err)
			if bytes.Contains(text.Bytes(), []byte("422")) {
				return http.StatusUnprocessableEntity
			}
			return 0
		}
		turn := 0
		Eventually(func() int { turn++; return refused(turn % 3) }, patience, 100*time.Millisecond).Should(Equal(http.StatusUnprocessableEntity))
		for host := range 3 {
			Eventually(func() int { return refused(host) }, patience).Should(Equal(http.StatusUnprocessableEntity))
		}
		runs := 0
		for _, e := range d.Engines() {
			runs += e.RequestCount("poison")
			e.CrashOn("")
		}
		Expect(runs).To(BeNumerically("<=", 2))

		operate := func(arguments ...string) string {
			var out bytes.Buffer
			arguments = append(arguments, "--server", d.URL(0), "--token", examples.AgencyOperatorToken)
			Expect(command.Run(arguments, &out, GinkgoWriter)).To(Equal(0))
			return out.String()
		}
		var list []admin.QuarantinedBody
		Expect(json.Unmarshal([]byte(operate("quarantine", "list", "--output", "json")), &list)).To(Succeed())
		Expect(list).To(HaveLen(1))
		Expect(list[0].State).To(Equal("condemned"))
		operate("quarantine", "lift", list[0].Fingerprint)
		Expect(operate("services", "history")).To(ContainSubstring(list[0].Fingerprint))
		for host := range 3 {
			client := clientOf(d, host)
			Eventually(func() error {
				_, err := client.Chat.Completions.New(ctx, chat("poison"))
				return err
			}, patience).Should(Succeed())
		}
	})
})
