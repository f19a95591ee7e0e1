package loadtest

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

// InterferenceOptions are the parameters of a measurement of how batch work
// affects online callers.
type InterferenceOptions struct {
	// Duration is the duration of each of the three runs.
	Duration time.Duration
	// OnlineShare is the mean online load as a fraction of the engines' slots.
	OnlineShare float64
	Seed        uint64
	// Step is the time that an engine takes for one token.
	Step time.Duration
}

// InterferenceRun is the result of one run.
type InterferenceRun struct {
	Name       string      `json:"name"`
	Calls      int         `json:"calls"`
	Failed     int         `json:"failed"`
	FirstToken Percentiles `json:"first_token"`
	TokenGap   Percentiles `json:"between_tokens"`
	// BatchItemsPerSecond is the rate of completed items. IdleUtilisation is the
	// share that batch work used of the slot time not used by online calls.
	BatchItemsPerSecond float64 `json:"batch_items_per_second"`
	IdleUtilisation     float64 `json:"idle_used"`
}

const (
	onlineTokens = 20
	batchTokens  = 20
	batchItems   = 50_000
	// Each burstInterval begins with a burst of burstLength, in which calls arrive
	// at burstFactor times the base rate.
	burstInterval = 3 * time.Second
	burstLength   = time.Second
	burstFactor   = 2.0
	// warmUp is the time for batch work to fill the slots before the first online
	// call.
	warmUp = 3 * time.Second
)

// MeasureInterference sends the same online calls three times: without batch
// work, with batch work under the queue policy "urgent" (queue.PriorityPolicy),
// and with batch work under the queue policy "naive" (queue.FIFO).
func MeasureInterference(ctx context.Context, o InterferenceOptions) ([]InterferenceRun, error) {
	configs := []struct {
		name, policy string
		batch        bool
	}{
		{"online alone", "urgent", false},
		{"with batch, urgent policy", "urgent", true},
		{"with batch, naive policy", "naive", true},
	}
	var runs []InterferenceRun
	for _, config := range configs {
		run, err := measureRun(ctx, o, config.policy, config.batch)
		if err != nil {
			return nil, trace.Wrap(err, config.name)
		}
		run.Name = config.name
		runs = append(runs, run)
	}
	return runs, nil
}

// measureRun starts a deployment with the given queue policy, sends the online
// calls to it and measures them, with a batch job in the background if batch is
// set.
func measureRun(ctx context.Context, o InterferenceOptions, policy string, batch bool) (InterferenceRun, error) {
	options := deployment.SmallOptions()
	options.Step, options.Prefill, options.Policy = o.Step, o.Step, policy
	d, err := deployment.Start(ctx, options)
	if err != nil {
		return InterferenceRun{}, err
	}
	defer d.Close()
	var clients []*client
	for i := range options.Hosts {
		clients = append(clients, newClient(d.URL(i), examples.AgencyCallerToken, "village-requests-chat"))
	}
	job := &batchJob{client: clients[0]}
	if batch {
		if err := job.submit(ctx); err != nil {
			return InterferenceRun{}, err
		}
		time.Sleep(warmUp)
	}
	tokensBefore, itemsBefore, begin := d.Tokens(), job.completedItems(ctx), time.Now()
	online := newCollector()
	sendArrivals(ctx, online, clients, o, options.Slots*options.Engines)
	elapsed := time.Since(begin)
	run := InterferenceRun{
		Calls: online.calls, Failed: online.failed,
		FirstToken: online.firstToken.percentiles(), TokenGap: online.tokenGap.percentiles(),
	}
	if batch {
		// Use the measured time per token, since the stand-ins' actual step is
		// slightly longer than configured.
		meanGap := online.tokenGap.Mean() / float64(time.Second/time.Microsecond)
		idleTokens := elapsed.Seconds()/meanGap*float64(options.Slots*options.Engines) - float64(online.tokens)
		run.BatchItemsPerSecond = float64(job.completedItems(ctx)-itemsBefore) / elapsed.Seconds()
		run.IdleUtilisation = float64(d.Tokens()-tokensBefore-int64(online.tokens)) / idleTokens
	}
	return run, nil
}

// sendArrivals sends online calls as a Poisson process with bursts and waits for
// all responses.
func sendArrivals(ctx context.Context, online *collector, clients []*client, o InterferenceOptions, slots int) {
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed))
	capacity := float64(slots) / (o.Step.Seconds() * onlineTokens)
	burstFraction := burstLength.Seconds() / burstInterval.Seconds()
	baseRate := capacity * o.OnlineShare / (1 + (burstFactor-1)*burstFraction)
	var wg sync.WaitGroup
	begin := time.Now()
	for offset, n := time.Duration(0), 0; offset < o.Duration && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(begin.Add(offset)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			online.add(clients[n%len(clients)].stream(ctx, fmt.Sprintf("online %d", n), onlineTokens))
		}()
		rate := baseRate
		if offset%burstInterval < burstLength {
			rate *= burstFactor
		}
		offset += time.Duration(-math.Log(1-rng.Float64()) / rate * float64(time.Second))
	}
	wg.Wait()
}

// batchJob is a batch job with enough items to outlast a run.
type batchJob struct {
	client *client
	// id is empty until the job is submitted.
	id string
}

// submit uploads a file of batchItems items and starts a job on it.
func (j *batchJob) submit(ctx context.Context) error {
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
	request := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID)
	if err := j.client.call(ctx, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(request), &batch); err != nil {
		return err
	}
	j.id = batch.ID
	return nil
}

// completedItems returns the number of completed items. It returns 0 if there is
// no job or its status cannot be read.
func (j *batchJob) completedItems(ctx context.Context) int {
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
