package load

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"mime/multipart"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
)

// HarmOptions are the size of a measurement of what batch does to online.
type HarmOptions struct {
	// Duration is the time of each of the three runs.
	Duration time.Duration
	// Share is the mean online load as a part of the engines' slots.
	Share float64
	Seed  uint64
	// Step is the engines' time for one token.
	Step time.Duration
}

// Run is what one run showed.
type Run struct {
	Name    string      `json:"name"`
	Calls   int         `json:"calls"`
	Failed  int         `json:"failed"`
	First   Percentiles `json:"first_token"`
	Between Percentiles `json:"between_tokens"`
	// BatchItemsPerSecond counts finished items; IdleUsed is the part of the
	// slots' time that online left and batch used.
	BatchItemsPerSecond float64 `json:"batch_items_per_second"`
	IdleUsed            float64 `json:"idle_used"`
}

const (
	onlineTokens = 20
	batchTokens  = 20
	batchItems   = 50_000
	// burstEvery and burstLength shape the arrivals: bursts at twice the rate.
	burstEvery  = 3 * time.Second
	burstLength = time.Second
	burstFactor = 2.0
	// warmUp lets batch fill the slots before the first arrival.
	warmUp = 3 * time.Second
)

// MeasureHarm runs the same online arrivals three times: alone, with batch
// under the urgent policy, and with batch under the naive one.
func MeasureHarm(ctx context.Context, o HarmOptions) ([]Run, error) {
	kinds := []struct {
		name, policy string
		batch        bool
	}{
		{"online alone", "urgent", false},
		{"with batch, urgent policy", "urgent", true},
		{"with batch, naive policy", "naive", true},
	}
	var runs []Run
	for _, kind := range kinds {
		run, err := measureOne(ctx, o, kind.policy, kind.batch)
		if err != nil {
			return nil, trace.Wrap(err, kind.name)
		}
		run.Name = kind.name
		runs = append(runs, run)
	}
	return runs, nil
}

func measureOne(ctx context.Context, o HarmOptions, policy string, batch bool) (Run, error) {
	size := deployment.Small()
	size.Step, size.Prefill, size.Policy = o.Step, o.Step, policy
	d, err := deployment.Start(ctx, size)
	if err != nil {
		return Run{}, err
	}
	defer d.Close()
	var clients []*client
	for i := range size.Hosts {
		clients = append(clients, newClient(d.URL(i), examples.AgencyCallerToken, "village-requests-chat"))
	}
	job := &job{client: clients[0]}
	if batch {
		if err := job.submit(ctx); err != nil {
			return Run{}, err
		}
		time.Sleep(warmUp)
	}
	tokensBefore, itemsBefore, begin := d.Tokens(), job.completed(ctx), time.Now()
	online := newSide()
	arrive(ctx, online, clients, o, size.Slots*size.Engines)
	elapsed := time.Since(begin)
	run := Run{
		Calls: online.calls, Failed: online.failed,
		First: online.first.percentiles(), Between: online.between.percentiles(),
	}
	if batch {
		// The stand-ins' real step is a little longer than asked for.
		step := online.between.Mean() / float64(time.Second/time.Microsecond)
		idle := elapsed.Seconds()/step*float64(size.Slots*size.Engines) - float64(online.tokens)
		run.BatchItemsPerSecond = float64(job.completed(ctx)-itemsBefore) / elapsed.Seconds()
		run.IdleUsed = float64(d.Tokens()-tokensBefore-int64(online.tokens)) / idle
	}
	return run, nil
}

// arrive sends Poisson arrivals with bursts and waits for all answers.
func arrive(ctx context.Context, online *side, clients []*client, o HarmOptions, slots int) {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	capacity := float64(slots) / (o.Step.Seconds() * onlineTokens)
	burstPart := burstLength.Seconds() / burstEvery.Seconds()
	calm := capacity * o.Share / (1 + (burstFactor-1)*burstPart)
	var group sync.WaitGroup
	begin := time.Now()
	for at, n := time.Duration(0), 0; at < o.Duration && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(begin.Add(at)))
		group.Add(1)
		go func() {
			defer group.Done()
			online.add(clients[n%len(clients)].stream(ctx, fmt.Sprintf("online %d", n), onlineTokens))
		}()
		rate := calm
		if at%burstEvery < burstLength {
			rate *= burstFactor
		}
		at += time.Duration(-math.Log(1-random.Float64()) / rate * float64(time.Second))
	}
	group.Wait()
}

// job is a batch job that outlasts the run.
type job struct {
	client *client
	// id is empty while there is no job.
	id string
}

func (j *job) submit(ctx context.Context) error {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return trace.Wrap(err)
	}
	part, err := form.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return trace.Wrap(err)
	}
	for i := range batchItems {
		fmt.Fprintf(part, `{"custom_id":"i%d","method":"POST","url":"/v1/chat/completions","body":{"model":"route-summaries","max_tokens":%d,"messages":[{"role":"user","content":"batch %d"}]}}`+"\n", i, batchTokens, i)
	}
	if err := form.Close(); err != nil {
		return trace.Wrap(err)
	}
	var file, batch struct {
		ID string `json:"id"`
	}
	if err := j.client.call(ctx, http.MethodPost, "/v1/files", form.FormDataContentType(), &body, &file); err != nil {
		return err
	}
	in := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID)
	if err := j.client.call(ctx, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(in), &batch); err != nil {
		return err
	}
	j.id = batch.ID
	return nil
}

// completed returns the number of finished items, 0 for no job.
func (j *job) completed(ctx context.Context) int {
	var batch struct {
		Counts struct {
			Completed int `json:"completed"`
		} `json:"request_counts"`
	}
	if j.id == "" || j.client.call(ctx, http.MethodGet, "/v1/batches/"+j.id, "", nil, &batch) != nil {
		return 0
	}
	return batch.Counts.Completed
}
