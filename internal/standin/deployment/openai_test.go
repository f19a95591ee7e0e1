package deployment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
)

func clientOf(d *deployment.Deployment, host int) openai.Client {
	return openai.NewClient(option.WithBaseURL(d.URL(host)+"/v1"), option.WithAPIKey(examples.AgencyCallerToken), option.WithMaxRetries(0))
}

func chat(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "village-requests-chat",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func items(n int, prompt func(i int) string) []byte {
	var lines bytes.Buffer
	for i := range n {
		body, _ := json.Marshal(map[string]any{
			"custom_id": fmt.Sprintf("item-%d", i), "method": "POST", "url": "/v1/chat/completions",
			"body": map[string]any{
				"model":    "route-summaries",
				"messages": []map[string]string{{"role": "user", "content": prompt(i)}},
			},
		})
		lines.Write(append(body, '\n'))
	}
	return lines.Bytes()
}

// submit uploads lines and starts a batch on them.
func submit(ctx context.Context, client *openai.Client, lines []byte) *openai.Batch {
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File: openai.File(bytes.NewReader(lines), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	Expect(err).NotTo(HaveOccurred())
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	Expect(err).NotTo(HaveOccurred())
	return batch
}

func statusOf(ctx context.Context, client *openai.Client, id string) func() string {
	return func() string {
		batch, err := client.Batches.Get(ctx, id)
		if err != nil {
			return err.Error()
		}
		return string(batch.Status)
	}
}

// answers reads an output file: the text of each item by its custom_id.
func answers(ctx context.Context, client *openai.Client, file string) map[string]string {
	resp, err := client.Files.Content(ctx, file)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	found := make(map[string]string)
	for line := range strings.Lines(string(content)) {
		var one struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body openai.ChatCompletion `json:"body"`
			} `json:"response"`
		}
		Expect(json.Unmarshal([]byte(line), &one)).To(Succeed())
		Expect(found).NotTo(HaveKey(one.CustomID), "custom_id stands twice")
		found[one.CustomID] = one.Response.Body.Choices[0].Message.Content
	}
	return found
}

var _ = Describe("an unmodified OpenAI client", func() {
	It("chats, whole and streamed", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		client := clientOf(d, 0)
		answer, err := client.Chat.Completions.New(ctx, chat("which tank for Abomsa?"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices[0].Message.Content).To(Equal(engine.Answer("which tank for Abomsa?", 0)))
		Expect(answer.Usage.TotalTokens).To(Equal(answer.Usage.PromptTokens + answer.Usage.CompletionTokens))

		stream := client.Chat.Completions.NewStreaming(ctx, chat("which tank for Dodota?"))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(engine.Answer("which tank for Dodota?", 0)))
	})

	It("runs a batch in which each item comes out once", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		client := clientOf(d, 1)
		const n = 500
		prompt := func(i int) string { return fmt.Sprintf("summarise route %d", i) }
		lines := items(n, prompt)
		batch := submit(ctx, &client, lines)
		Expect(submit(ctx, &client, lines).ID).To(Equal(batch.ID), "a job that is sent again is the same job")
		Eventually(statusOf(ctx, &client, batch.ID), patience).Should(Equal("completed"))
		done, err := client.Batches.Get(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		found := answers(ctx, &client, done.OutputFileID)
		Expect(found).To(HaveLen(n))
		for i := range n {
			Expect(found[fmt.Sprintf("item-%d", i)]).To(Equal(engine.Answer(prompt(i), 0)))
		}
	})

	It("cancels a batch, which stays cancelled", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step *= 20
		d := start(o)
		client := clientOf(d, 2)
		batch := submit(ctx, &client, items(3000, func(i int) string { return fmt.Sprintf("route %d", i) }))
		_, err := client.Batches.Cancel(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		Eventually(statusOf(ctx, &client, batch.ID), patience).Should(Equal("cancelled"))
	})

	It("gives 200 callers at once each its own answer", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		var group sync.WaitGroup
		wrong := make(chan string, 200)
		for i := range 200 {
			group.Add(1)
			go func() {
				defer group.Done()
				client := clientOf(d, i%3)
				prompt := fmt.Sprintf("caller %d asks", i)
				answer, err := client.Chat.Completions.New(ctx, chat(prompt))
				if err != nil {
					wrong <- err.Error()
				} else if answer.Choices[0].Message.Content != engine.Answer(prompt, 0) {
					wrong <- prompt
				}
			}()
		}
		group.Wait()
		close(wrong)
		Expect(wrong).To(BeEmpty())
	})
})

var _ = Describe("a host that goes", func() {
	It("cuts no stream when it is stopped in the middle", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step *= 10
		d := start(o)
		client := clientOf(d, 0)
		params := chat("a long story")
		params.MaxTokens = openai.Int(40)
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		Expect(stream.Next()).To(BeTrue())
		text := stream.Current().Choices[0].Delta.Content
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			d.Hosts()[0].Stop(ctx)
		}()
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text += choice.Delta.Content
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text).To(Equal(engine.Answer("a long story", 40)))
		Eventually(stopped, patience).Should(BeClosed())
	})

	It("loses no item of its jobs when it is killed", func(ctx SpecContext) {
		o := deployment.SmallOptions()
		o.Step *= 4
		d := start(o)
		client := clientOf(d, 0)
		prompt := func(i int) string { return fmt.Sprintf("route %d", i) }
		const n = 1500
		batch := submit(ctx, &client, items(n, prompt))
		victim := 0
		for i, h := range d.Hosts() {
			if h.RunsJob(batch.ID) {
				victim = i
			}
		}
		survivor := clientOf(d, (victim+1)%3)
		Eventually(func() int64 {
			b, err := survivor.Batches.Get(ctx, batch.ID)
			if err != nil {
				return 0
			}
			return b.RequestCounts.Completed
		}, patience).Should(BeNumerically(">", 100))
		d.Hosts()[victim].Kill()
		Eventually(statusOf(ctx, &survivor, batch.ID), patience).Should(Equal("completed"))
		done, err := survivor.Batches.Get(ctx, batch.ID)
		Expect(err).NotTo(HaveOccurred())
		found := answers(ctx, &survivor, done.OutputFileID)
		Expect(found).To(HaveLen(n))
		for i := range n {
			Expect(found[fmt.Sprintf("item-%d", i)]).To(Equal(engine.Answer(prompt(i), 0)))
		}
	})
})
