package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/command"
	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// waitTimeout bounds every wait of this suite; it is not a latency target.
const waitTimeout = 60 * time.Second

// startDeployment starts a deployment that is closed at the end of the spec.
func startDeployment(o deployment.Options) *deployment.Deployment {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	d, err := deployment.Start(ctx, o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	return d
}

// oneZone returns the options of a deployment with three hosts and six engines
// in one zone.
func oneZone() deployment.Options {
	o := deployment.SmallOptions()
	o.Zones = 1
	return o
}

// callOperator sends a request with the operator token to a host and decodes the
// response if its status is 200.
func callOperator(d *deployment.Deployment, host int, method, path string, body []byte, out any) error {
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
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, content)
	}
	return json.Unmarshal(content, out)
}

// submit uploads a file of 2000 items, the same on each call, and starts a batch
// job on it.
func submit(ctx context.Context, client *openai.Client) *openai.Batch {
	var lines bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"route-summaries","messages":[{"role":"user","content":"route %d"}]}}`+"\n", i, i)
	}
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File: openai.File(&lines, "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	Expect(err).NotTo(HaveOccurred())
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	Expect(err).NotTo(HaveOccurred())
	return batch
}

// sendChat sends an online chat completion and returns its request id.
func sendChat(d *deployment.Deployment, host int, prompt string, deadline time.Duration) string {
	body := fmt.Sprintf(`{"model":"village-requests-chat","messages":[{"role":"user","content":%q}]}`, prompt)
	return sendRequest(d, host, "/v1/chat/completions", body, deadline)
}

// sendRequest sends a POST request with the caller token and returns its request
// id.
func sendRequest(d *deployment.Deployment, host int, path, body string, deadline time.Duration) string {
	req, err := http.NewRequest(http.MethodPost, d.URL(host)+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+examples.AgencyCallerToken)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	return resp.Header.Get("X-Request-Id")
}

// causeOf returns a function that asks a host for the most likely cause of what
// happened to a subject.
func causeOf(d *deployment.Deployment, host int, subject string) func() string {
	return func() string {
		var explanation admin.Explanation
		if err := callOperator(d, host, http.MethodGet, "/operator/why/"+subject, nil, &explanation); err != nil {
			return err.Error()
		}
		return explanation.Sentences()[0]
	}
}

// currentText returns the services text in force and its revision.
func currentText(d *deployment.Deployment) (string, int64) {
	var body admin.TextBody
	Expect(callOperator(d, 0, http.MethodGet, "/operator/text", nil, &body)).To(Succeed())
	return body.Source, body.Revision
}

func applyText(d *deployment.Deployment, host int, by string, from int64, source string) error {
	var change admin.ChangeBody
	path := fmt.Sprintf("/operator/text?revision=%d&by=%s", from, by)
	return callOperator(d, host, http.MethodPut, path, []byte(source), &change)
}

var _ = Describe("why", func() {
	It("names the engine that a request body crashed", func(ctx SpecContext) {
		d := startDeployment(oneZone())
		for _, e := range d.Engines() {
			e.CrashOn("poison")
		}
		id := sendChat(d, 0, "poison", 20*time.Second)
		Eventually(causeOf(d, 1, id), waitTimeout).Should(MatchRegexp(`most likely cause: .*body .*dispatch-engine-\d crashed while it ran the body`))
	})

	It("names a lost host and lists it as not reachable", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		d.Hosts()[1].Kill()
		Eventually(causeOf(d, 0, "entry-2"), waitTimeout).Should(ContainSubstring("host lost (entry-2, addis-b)"))
		var explanation admin.Explanation
		Expect(callOperator(d, 0, http.MethodGet, "/operator/why/entry-2", nil, &explanation)).To(Succeed())
		Expect(explanation.Missing).To(ContainElement(HavePrefix("host entry-2: ")))
	})

	It("names a zone that was cut off", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Hosts = 6
		d := startDeployment(o)
		d.Hosts()[1].Kill()
		d.Hosts()[4].Kill()
		Eventually(causeOf(d, 0, "addis-b"), waitTimeout).Should(ContainSubstring("zone cut off (addis-b, entry-2, entry-5)"))
		Expect(causeOf(d, 0, "dispatch-engine-2")()).To(ContainSubstring("zone cut off"))
	})

	It("names an unreachable store for a request that was refused because of it", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		d.KV().SetFaults(func(string) platform.Fault { return platform.Refuse })
		id := sendRequest(d, 0, "/services/tank-requests/new", `{"tank":1}`, 2*time.Second)
		Eventually(causeOf(d, 0, id), waitTimeout).Should(ContainSubstring("platform store unreachable"))
		d.KV().SetFaults(nil)
	})

	It("names a store that is slow", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		d.Platform().SetDelay(1500 * time.Millisecond)
		Eventually(causeOf(d, 0, "platform"), waitTimeout).Should(ContainSubstring("platform store slow"))
		d.Platform().SetDelay(0)
	})

	It("names a lost reply of the store", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		d.KV().SetFaults(func(op string) platform.Fault {
			if op == "txn" {
				return platform.LoseReply
			}
			return platform.NoFault
		})
		sendRequest(d, 0, "/services/tank-requests/new", `{"tank":2}`, 2*time.Second)
		d.KV().SetFaults(nil)
		Eventually(causeOf(d, 0, "platform"), waitTimeout).Should(ContainSubstring("platform reply lost"))
	})

	It("names both operators of a conflicting change", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		source, baseRevision := currentText(d)
		Expect(applyText(d, 0, "sara", baseRevision, strings.Replace(source, `"weight": 5,`, `"weight": 6,`, 1))).To(Succeed())
		Expect(applyText(d, 1, "abebe", baseRevision, strings.Replace(source, `"weight": 5,`, `"weight": 7,`, 1))).NotTo(Succeed())
		Expect(causeOf(d, 2, "services")()).To(MatchRegexp("change refused .*abebe.*sara"))
	})

	It("names engines that stopped answering", func(ctx SpecContext) {
		d := startDeployment(oneZone())
		for _, e := range d.Engines() {
			e.SetStalled(true)
		}
		id := sendChat(d, 0, "anyone there?", 25*time.Second)
		Eventually(causeOf(d, 0, id), waitTimeout).Should(ContainSubstring("back end silent"))
	})

	It("names the services text revision that marked a service's servers as leaving", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		source, baseRevision := currentText(d)
		changed := strings.ReplaceAll(source, `"kind": "plain",
      "zone"`, `"kind": "plain",
      "leaving": true,
      "zone"`)
		Expect(changed).NotTo(Equal(source))
		Expect(applyText(d, 0, "sara", baseRevision, changed)).To(Succeed())
		Eventually(causeOf(d, 1, "status-lookups"), waitTimeout).Should(MatchRegexp("back end leaving .*revision 2 of the services text"))
	})

	It("reports a resubmitted job and its cancellation, which stays in the audit trail", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step *= 20
		d := startDeployment(o)
		client := openai.NewClient(option.WithBaseURL(d.URL(0)+"/v1"), option.WithAPIKey(examples.AgencyCallerToken), option.WithMaxRetries(0))
		batch := submit(ctx, &client)
		Expect(submit(ctx, &client).ID).To(Equal(batch.ID))
		Eventually(causeOf(d, 1, batch.ID), waitTimeout).Should(ContainSubstring("job sent again"))
		_, err := client.Batches.Cancel(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		Eventually(causeOf(d, 1, batch.ID), waitTimeout).Should(ContainSubstring("job cancelled"))
		Expect(causeOf(d, 1, batch.ID+"-000007")()).To(ContainSubstring("job cancelled"))
		history, failure := revision.History(context.Background(), d.KV(), 1)
		Expect(failure).To(BeNil())
		Expect(history[0].Action + " " + history[0].Subject).To(Equal("job cancelled " + batch.ID))
	})

	It("names a lease that expired because its holder could not renew it", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		d.KV().SetFaults(func(op string) platform.Fault {
			if op == "keepalive" {
				return platform.Refuse
			}
			return platform.NoFault
		})
		Eventually(causeOf(d, 0, "shard/0003"), waitTimeout).Should(MatchRegexp("shard lost .*lease"))
		d.KV().SetFaults(nil)
	})
})

var _ = Describe("the status page of a host", func() {
	It("is shown to operators only", func(ctx SpecContext) {
		d := startDeployment(deployment.SmallOptions())
		get := func(password string) (int, string) {
			req, err := http.NewRequest(http.MethodGet, d.URL(0)+"/status", nil)
			Expect(err).NotTo(HaveOccurred())
			req.SetBasicAuth("anyone", password)
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			var body bytes.Buffer
			_, err = body.ReadFrom(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode, body.String()
		}
		status, body := get(examples.AgencyOperatorToken)
		Expect(status).To(Equal(http.StatusOK))
		for _, part := range []string{"Host entry-1 in zone addis-a", "entry-3", "dispatch-engine-6", "tank-records-2", "host started"} {
			Expect(body).To(ContainSubstring(part))
		}
		status, _ = get(examples.AgencyCallerToken)
		Expect(status).To(Equal(http.StatusUnauthorized))
	})
})

var _ = Describe("why with log files", func() {
	const folder = "../cause/testdata/lines/"

	It("explains from the standard output of hosts, without a host", func() {
		var out, errOut bytes.Buffer
		Expect(command.Run([]string{"why", "--lines", folder + "h-b-1.log", "--lines", folder + "h-b-2.log", "055bec94ce9f31c8"}, &out, &errOut)).To(BeZero(), errOut.String())
		Expect(out.String()).To(HavePrefix("most likely cause: 2026-01-31 17:17:42."))
		Expect(out.String()).To(ContainSubstring("store lost (platform)"))
		Expect(errOut.String()).To(BeEmpty())
	})

	It("prints the number of skipped lines", func() {
		var out, errOut bytes.Buffer
		Expect(command.Run([]string{"why", "--lines", "why_test.go", "x"}, &out, &errOut)).To(BeZero())
		Expect(out.String()).To(Equal("nothing is known about x\n"))
		Expect(errOut.String()).To(MatchRegexp(`why_test.go: [0-9]+ lines are not the product's`))
	})
})
