package command

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/operator/loadtest"
)

// addLoadCommands adds the load commands. The subcommands added and harm measure
// a deployment of stand-ins that they start in this process, and upload and
// tokens measure a running host.
func (c *cli) addLoadCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("load", "Measure a deployment of stand-ins in this process.")
	group.Flag("output", "Form of the output: table or json.").Default("table").EnumVar(&c.output, "table", "json")

	added := group.Command("added", "Latency that a host adds to an engine called directly.")
	calls := added.Flag("calls", "Calls on each side.").Default("2000").Int()
	callers := added.Flag("callers", "Calls side by side.").Default("8").Int()
	tokens := added.Flag("tokens", "Tokens of each answer.").Default("16").Int()
	actions[added.FullCommand()] = func() error {
		return c.measureAddedLatency(loadtest.AddedLatencyOptions{Calls: *calls, Callers: max(1, *callers), Tokens: *tokens})
	}

	c.addUploadCommand(group, actions)
	c.addTokensCommand(group, actions)

	harm := group.Command("harm", "What batch does to online callers, by queue policy.")
	duration := harm.Flag("duration", "Time of each run.").Default("30s").Duration()
	share := harm.Flag("share", "Mean online load as a part of the slots.").Default("0.4").Float64()
	seed := harm.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	step := harm.Flag("step", "Engine's time for one token.").Default("10ms").Duration()
	actions[harm.FullCommand()] = func() error {
		return c.measureInterference(loadtest.InterferenceOptions{Duration: *duration, OnlineShare: *share, Seed: *seed, Step: *step})
	}
}

// addUploadCommand adds the command that measures the upload of a large batch
// file to a running host.
func (c *cli) addUploadCommand(group *kingpin.CmdClause, actions map[string]func() error) {
	upload := group.Command("upload", "Time and memory that a large batch file takes at a running host.")
	server := upload.Flag("server", "Base address of a host.").Default("http://127.0.0.1:8080").String()
	token := upload.Flag("token", "Bearer token.").Envar("KINGCUPQUAY_TOKEN").String()
	items := upload.Flag("items", "Lines of the file.").Default("150000").Int()
	size := upload.Flag("item-bytes", "Length of each prompt.").Default("530").Int()
	actions[upload.FullCommand()] = func() error {
		return c.measureUpload(loadtest.UploadOptions{Server: *server, Token: *token, Items: *items, ItemBytes: *size})
	}
}

func (c *cli) measureUpload(o loadtest.UploadOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	upload, err := loadtest.MeasureUpload(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.print(upload, []string{"SENT MB", "SECONDS", "READ MB", "SECONDS", "HOST MB BEFORE", "HOST MB PEAK"}, [][]string{{
		fmt.Sprintf("%.1f", float64(upload.Bytes)/(1<<20)), fmt.Sprintf("%.2f", upload.Seconds),
		fmt.Sprintf("%.1f", float64(upload.ReadBytes)/(1<<20)), fmt.Sprintf("%.2f", upload.ReadSeconds),
		fmt.Sprintf("%.1f", upload.MemoryBefore), fmt.Sprintf("%.1f", upload.MemoryPeak),
	}})
}

// addTokensCommand adds the command that measures the processor time that a
// running host spends on streamed responses.
func (c *cli) addTokensCommand(group *kingpin.CmdClause, actions map[string]func() error) {
	tokens := group.Command("tokens", "Processor time that a running host spends on streamed answers.")
	var o loadtest.TokenCostOptions
	tokens.Flag("server", "Base address of a host.").Default("http://127.0.0.1:8080").StringVar(&o.Server)
	tokens.Flag("token", "Bearer token.").Envar("KINGCUPQUAY_TOKEN").StringVar(&o.Token)
	tokens.Flag("model", "Model or service to call.").Default("village-requests-chat").StringVar(&o.Model)
	tokens.Flag("streams", "Streams side by side.").Default("32").IntVar(&o.Streams)
	tokens.Flag("calls", "Calls of each stream.").Default("20").IntVar(&o.Calls)
	tokens.Flag("length", "Tokens of each answer.").Default("100").IntVar(&o.Length)
	actions[tokens.FullCommand()] = func() error { return c.measureTokenCost(o) }
}

func (c *cli) measureTokenCost(o loadtest.TokenCostOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	cost, err := loadtest.MeasureTokenCost(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.print(cost, []string{"CALLS", "FAILED", "TOKENS/S", "CPU US/CALL", "CPU US/TOKEN", "HOST MB"}, [][]string{{
		strconv.Itoa(cost.Calls), strconv.Itoa(cost.Failed), fmt.Sprintf("%.0f", cost.TokensPerSecond),
		fmt.Sprintf("%.0f", cost.CPUMicrosPerCall), fmt.Sprintf("%.1f", cost.CPUMicrosPerToken), fmt.Sprintf("%.1f", cost.MemoryMB),
	}})
}

const loadTimeout = 10 * time.Minute

func (c *cli) measureAddedLatency(o loadtest.AddedLatencyOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	latency, err := loadtest.MeasureAddedLatency(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.print(latency, []string{"SIDE", "FIRST P50", "FIRST P99", "TOTAL P50", "TOTAL P99", "FAILED"}, [][]string{
		{"engine directly", formatMS(latency.DirectFirst.P50), formatMS(latency.DirectFirst.P99), formatMS(latency.DirectTotal.P50), formatMS(latency.DirectTotal.P99), ""},
		{"through a host", formatMS(latency.HostFirst.P50), formatMS(latency.HostFirst.P99), formatMS(latency.HostTotal.P50), formatMS(latency.HostTotal.P99), strconv.Itoa(latency.Failed)},
	})
}

func (c *cli) measureInterference(o loadtest.InterferenceOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	runs, err := loadtest.MeasureInterference(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	var rows [][]string
	for _, r := range runs {
		rows = append(rows, []string{
			r.Name, strconv.Itoa(r.Calls), strconv.Itoa(r.Failed), formatMS(r.FirstToken.P50), formatMS(r.FirstToken.P99), formatMS(r.FirstToken.P999),
			formatMS(r.TokenGap.P50), formatMS(r.TokenGap.P99), fmt.Sprintf("%.1f", r.BatchItemsPerSecond), fmt.Sprintf("%.3f", r.IdleUtilisation),
		})
	}
	return c.print(runs, []string{
		"RUN", "CALLS", "FAILED", "FIRST P50", "FIRST P99", "FIRST P99.9", "GAP P50", "GAP P99", "ITEMS/S", "IDLE USED",
	}, rows)
}

func formatMS(v float64) string { return fmt.Sprintf("%.2f ms", v) }
