package deployment_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// operate sends an operator's call to a host and decodes a good answer.
func operate(d *deployment.Deployment, host int, method, path string, body []byte, out any) error {
	req, err := http.NewRequest(method, d.URL(host)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+examples.AgencyOperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return json.Unmarshal(answer, out)
}

// inForce returns the revision that a host itself has in force.
func inForce(d *deployment.Deployment, host int) func() int64 {
	return func() int64 {
		var list []admin.HostStatus
		if err := operate(d, host, http.MethodGet, "/operator/status", nil, &list); err != nil {
			return -1
		}
		return list[0].Revision
	}
}

// withOrganisations adds n organisations to a text, one a line.
func withOrganisations(source string, n, share int) []byte {
	var added bytes.Buffer
	added.WriteString(`"organisations": [`)
	for i := range n {
		fmt.Fprintf(&added, "\n    {\"name\": \"o%05d\", \"token_sha256\": [\"%x\"], \"share\": %d},", i, sha256.Sum256(fmt.Append(nil, i)), share+i%2)
	}
	return bytes.Replace([]byte(source), []byte(`"organisations": [`), added.Bytes(), 1)
}

var _ = Describe("the services text of a running deployment", func() {
	It("comes into force everywhere, long texts too, and outlives the platform", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		var body admin.TextBody
		Expect(operate(d, 0, http.MethodGet, "/operator/text", nil, &body)).To(Succeed())
		original := body.Source
		const n = 3000
		for i := range 3 {
			var change admin.ChangeBody
			path := fmt.Sprintf("/operator/text?revision=%d&by=sara", 1+i)
			Expect(operate(d, i, http.MethodPut, path, withOrganisations(original, n, 1+i), &change)).To(Succeed())
			for host := range 3 {
				Eventually(inForce(d, host), patience).Should(BeEquivalentTo(2 + i))
			}
		}
		d.KV().SetFaults(func(string) platform.Fault { return platform.Refuse })
		d.Hosts()[1].Kill()
		settings := d.Settings()[1]
		settings.Peers = []string{d.Settings()[0].PeerAddress, d.Settings()[2].PeerAddress}
		_, err := d.StartHost(settings)
		Expect(err).NotTo(HaveOccurred())
		Eventually(inForce(d, 1), patience).Should(BeEquivalentTo(4))
		d.KV().SetFaults(nil)
	})

	It("is refused, tried without effect, and changed with a line in the history", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		var body admin.TextBody
		Expect(operate(d, 0, http.MethodGet, "/operator/text", nil, &body)).To(Succeed())
		var change admin.ChangeBody
		broken := bytes.Replace([]byte(body.Source), []byte(`"weight": 5,`), []byte(`"weight": 0,`), 1)
		Expect(operate(d, 0, http.MethodPut, "/operator/text?revision=1", broken, &change)).To(MatchError(ContainSubstring("weight: 0 is out of range; write 1 to 1000")))
		changed := bytes.Replace([]byte(body.Source), []byte(`"weight": 5,`), []byte(`"weight": 6,`), 1)
		Expect(operate(d, 0, http.MethodPut, "/operator/text?revision=1&dry_run=true", changed, &change)).To(Succeed())
		Expect(change.Effect).To(Equal([]string{"service status-lookups: weight 5 becomes 6"}))
		Expect(operate(d, 1, http.MethodPut, "/operator/text?revision=1&by=sara", changed, &change)).To(Succeed())
		Expect(operate(d, 2, http.MethodPut, "/operator/text?revision=1&by=abebe", broken, &change)).NotTo(Succeed())
		Expect(operate(d, 2, http.MethodPut, "/operator/text?revision=1&by=abebe", []byte(body.Source), &change)).
			To(MatchError(ContainSubstring("revision is 2 by sara (agency-operators), not 1")))
		var history []revision.AuditEntry
		Expect(operate(d, 0, http.MethodGet, "/operator/history?limit=1", nil, &history)).To(Succeed())
		Expect(history).To(HaveLen(1))
		Expect(history[0].By).To(Equal("sara (agency-operators)"))
		Expect(history[0].Difference).To(ContainSubstring(`"weight": 6`))
	})

	It("never puts into force what the parser refuses", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		entry, _, err := d.KV().Get(context.Background(), revision.CurrentKey)
		Expect(err).NotTo(HaveOccurred())
		bad, err := json.Marshal(revision.Document{Revision: 2, By: "x", WriteID: "x", Source: "{"})
		Expect(err).NotTo(HaveOccurred())
		commitText(d, entry.ModRevision, bad)
		var story admin.Explanation
		Eventually(func() string {
			if err := operate(d, 0, http.MethodGet, "/operator/why/services", nil, &story); err != nil {
				return err.Error()
			}
			return fmt.Sprint(story)
		}, patience).Should(ContainSubstring("services text unusable"))
		for host := range 3 {
			Expect(inForce(d, host)()).To(BeEquivalentTo(1))
		}
	})
})

// commitText replaces the stored document as no editor would.
func commitText(d *deployment.Deployment, modRevision int64, value []byte) {
	outcome, err := d.KV().Commit(context.Background(), store.Txn{
		Compares: []store.Compare{{Key: revision.CurrentKey, Target: store.ModRevision, Revision: modRevision}},
		Puts:     []store.Put{{Key: revision.CurrentKey, Value: value}},
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome.Succeeded).To(BeTrue())
}
