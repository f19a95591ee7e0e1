package command

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/operator/load"
)

// addLoadCommands adds the commands that measure a deployment of stand-ins.
func (s *shell) addLoadCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("load", "Measure a deployment of stand-ins in this process.")
	group.Flag("output", "Form of the output: table or json.").Default("table").EnumVar(&s.output, "table", "json")

	added := group.Command("added", "Latency that a host adds to an engine called directly.")
	calls := added.Flag("calls", "Calls on each side.").Default("2000").Int()
	callers := added.Flag("callers", "Calls side by side.").Default("8").Int()
	tokens := added.Flag("tokens", "Tokens of each answer.").Default("16").Int()
	actions[added.FullCommand()] = func() error {
		return s.loadAdded(load.AddedOptions{Calls: *calls, Callers: max(1, *callers), Tokens: *tokens})
	}

	s.addUploadCommand(group, actions)
	s.addTokensCommand(group, actions)

	harm := group.Command("harm", "What batch does to online callers, by queue policy.")
	duration := harm.Flag("duration", "Time of each run.").Default("30s").Duration()
	share := harm.Flag("share", "Mean online load as a part of the slots.").Default("0.4").Float64()
	seed := harm.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	step := harm.Flag("step", "Engine's time for one token.").Default("10ms").Duration()
	actions[harm.FullCommand()] = func() error {
		return s.loadHarm(load.HarmOptions{Duration: *duration, Share: *share, Seed: *seed, Step: *step})
	}
}

// addUploadCommand adds the measurement of a large file at a running host.
func (s *shell) addUploadCommand(group *kingpin.CmdClause, actions map[string]func() error) {
	upload := group.Command("upload", "Time and memory that a large batch file takes at a running host.")
	server := upload.Flag("server", "Base address of a host.").Default("http://127.0.0.1:8080").String()
	token := upload.Flag("token", "Bearer token.").Envar("KINGCUPQUAY_TOKEN").String()
	items := upload.Flag("items", "Lines of the file.").Default("150000").Int()
	size := upload.Flag("item-bytes", "Length of each prompt.").Default("530").Int()
	actions[upload.FullCommand()] = func() error {
		return s.loadUpload(load.UploadOptions{Server: *server, Token: *token, Items: *items, ItemBytes: *size})
	}
}

func (s *shell) loadUpload(o load.UploadOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	u, err := load.MeasureUpload(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.print(u, []string{"SENT MB", "SECONDS", "READ MB", "SECONDS", "HOST MB BEFORE", "HOST MB PEAK"}, [][]string{{
		fmt.Sprintf("%.1f", float64(u.Bytes)/(1<<20)), fmt.Sprintf("%.2f", u.Seconds),
		fmt.Sprintf("%.1f", float64(u.ReadBytes)/(1<<20)), fmt.Sprintf("%.2f", u.ReadSeconds),
		fmt.Sprintf("%.1f", u.MemoryBefore), fmt.Sprintf("%.1f", u.MemoryPeak),
	}})
}

// addTokensCommand adds the measurement of the data path's cost.
func (s *shell) addTokensCommand(group *kingpin.CmdClause, actions map[string]func() error) {
	tokens := group.Command("tokens", "Processor time that a running host spends on streamed answers.")
	var o load.TokensOptions
	tokens.Flag("server", "Base address of a host.").Default("http://127.0.0.1:8080").StringVar(&o.Server)
	tokens.Flag("token", "Bearer token.").Envar("KINGCUPQUAY_TOKEN").StringVar(&o.Token)
	tokens.Flag("model", "Model or service to call.").Default("village-requests-chat").StringVar(&o.Model)
	tokens.Flag("streams", "Streams side by side.").Default("32").IntVar(&o.Streams)
	tokens.Flag("calls", "Calls of each stream.").Default("20").IntVar(&o.Calls)
	tokens.Flag("length", "Tokens of each answer.").Default("100").IntVar(&o.Length)
	actions[tokens.FullCommand()] = func() error { return s.loadTokens(o) }
}

func (s *shell) loadTokens(o load.TokensOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	t, err := load.MeasureTokens(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.print(t, []string{"CALLS", "FAILED", "TOKENS/S", "CPU US/CALL", "CPU US/TOKEN", "HOST MB"}, [][]string{{
		strconv.Itoa(t.Calls), strconv.Itoa(t.Failed), fmt.Sprintf("%.0f", t.TokensPerSecond),
		fmt.Sprintf("%.0f", t.CPUMicrosPerCall), fmt.Sprintf("%.1f", t.CPUMicrosPerTok), fmt.Sprintf("%.1f", t.MemoryMB),
	}})
}

const loadTimeout = 10 * time.Minute

func (s *shell) loadAdded(o load.AddedOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	a, err := load.MeasureAdded(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.print(a, []string{"SIDE", "FIRST P50", "FIRST P99", "TOTAL P50", "TOTAL P99", "FAILED"}, [][]string{
		{"engine directly", ms(a.DirectFirst.P50), ms(a.DirectFirst.P99), ms(a.DirectTotal.P50), ms(a.DirectTotal.P99), ""},
		{"through a host", ms(a.HostFirst.P50), ms(a.HostFirst.P99), ms(a.HostTotal.P50), ms(a.HostTotal.P99), strconv.Itoa(a.Failed)},
	})
}

func (s *shell) loadHarm(o load.HarmOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	runs, err := load.MeasureHarm(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	var rows [][]string
	for _, r := range runs {
		rows = append(rows, []string{
			r.Name, strconv.Itoa(r.Calls), strconv.Itoa(r.Failed), ms(r.First.P50), ms(r.First.P99), ms(r.First.P999),
			ms(r.Between.P50), ms(r.Between.P99), fmt.Sprintf("%.1f", r.BatchItemsPerSecond), fmt.Sprintf("%.3f", r.IdleUsed),
		})
	}
	return s.print(runs, []string{
		"RUN", "CALLS", "FAILED", "FIRST P50", "FIRST P99", "FIRST P99.9", "GAP P50", "GAP P99", "ITEMS/S", "IDLE USED",
	}, rows)
}

func ms(v float64) string { return fmt.Sprintf("%.2f ms", v) }
