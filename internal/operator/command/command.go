// Package command implements the command line: it parses flags, calls the
// library or a host's HTTP interface, and prints a table or JSON.
//
// Exit codes are 0 for success, 1 for a failed command, and 2 for invalid
// arguments or invalid input.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kingcupquay/kingcupquay/internal/fleet/host"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
	"github.com/kingcupquay/kingcupquay/platform/keyvalue"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Version is the program's version.
const Version = "0.1.0"

// cli holds the output streams and the host flags of one invocation.
type cli struct {
	out    io.Writer
	errOut io.Writer
	server string
	token  string
	output string
}

// Run executes the command given by arguments and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	c := &cli{out: out, errOut: errOut}
	app := kingpin.New("kingcupquay", "Online and batch inference on one fleet of model engines and plain services.")
	app.UsageWriter(errOut).ErrorWriter(errOut).Terminate(nil)
	app.HelpFlag.Short('h')
	actions := make(map[string]func() error)
	c.addRunCommands(app, actions)
	c.addPlatformCommands(app, actions)
	c.addOperatorCommands(app, actions)
	c.addConfigCommands(app, actions)
	c.addAnswersCommand(app, actions)
	c.addQuarantineCommands(app, actions)
	c.addJobCommands(app, actions)
	c.addLoadCommands(app, actions)
	c.addStandinCommands(app, actions)
	selected, err := app.Parse(arguments)
	if err != nil {
		fmt.Fprintln(errOut, "kingcupquay:", err)
		return exitUsage
	}
	action, ok := actions[selected]
	if !ok {
		return exitOK
	}
	return c.exitCode(action())
}

// exitCode prints the error, if any, and returns the exit code for it.
func (c *cli) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(c.errOut, "kingcupquay:", trace.UserMessage(err))
	var badParameter *trace.BadParameterError
	if errors.As(err, &badParameter) || trace.IsBadParameter(err) {
		return exitUsage
	}
	return exitFailure
}

// addRunCommands adds the commands dev, host, settings and version.
func (c *cli) addRunCommands(app *kingpin.Application, actions map[string]func() error) {
	dev := app.Command("dev", "Run a whole small deployment in this process, for newcomers.")
	listen := dev.Flag("listen", "Caller address of the first host; the others take the next ports.").Default("127.0.0.1:8080").String()
	actions[dev.FullCommand()] = func() error { return c.runDev(*listen) }

	run := app.Command("host", "Run one entry host.")
	file := run.Flag("settings", "JSON file with the host's settings.").Required().ExistingFile()
	actions[run.FullCommand()] = func() error { return c.runHost(*file) }

	settings := app.Command("settings", "Work on a host's settings.")
	check := settings.Command("check", "Check a settings file.")
	checkFile := check.Arg("file", "JSON file.").Required().ExistingFile()
	actions[check.FullCommand()] = func() error { return c.checkSettings(*checkFile) }

	version := app.Command("version", "Print the version.")
	actions[version.FullCommand()] = func() error {
		_, err := fmt.Fprintln(c.out, Version)
		return err
	}
}

// devStartStopTimeout bounds both the start and the stop of the deployment of
// the dev command.
const devStartStopTimeout = 30 * time.Second

func (c *cli) runDev(listen string) error {
	o := deployment.SmallOptions()
	o.Listen = listen
	ctx, cancel := context.WithTimeout(context.Background(), devStartStopTimeout)
	defer cancel()
	d, err := deployment.Start(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprint(c.out, d.ExampleCalls())
	<-stopSignals()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), devStartStopTimeout)
	defer cancelStop()
	d.Stop(stopCtx)
	return nil
}

// stopSignals returns a channel that receives SIGTERM and SIGINT.
func stopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

func newLog() (logr.Logger, error) {
	z, err := zap.NewProduction()
	if err != nil {
		return logr.Logger{}, trace.Wrap(err)
	}
	return zapr.NewLogger(z), nil
}

func readSettings(file string) (*setup.Settings, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return setup.Parse(source)
}

func (c *cli) checkSettings(file string) error {
	if _, err := readSettings(file); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintln(c.out, "settings are valid")
	return nil
}

func (c *cli) runHost(file string) error {
	settings, err := readSettings(file)
	if err != nil {
		return trace.Wrap(err)
	}
	log, err := newLog()
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := keyvalue.NewClient(settings.StoreAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryLimitShare * (1 << 20)))
	}
	h, err := host.New(settings, log, timer.Real{}, client)
	if err != nil {
		return trace.Wrap(err)
	}
	listeners, err := host.Listen(settings)
	if err != nil {
		return trace.Wrap(err)
	}
	h.Start(listeners)
	<-stopSignals()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.StopSeconds)*time.Second)
	defer cancel()
	h.Stop(ctx)
	return nil
}
