package command

import (
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/fleet/diskhost"
	"github.com/kingcupquay/kingcupquay/internal/fleet/entry"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/logging"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/platform/engines"
	"github.com/kingcupquay/kingcupquay/platform/fields"
	"github.com/kingcupquay/kingcupquay/platform/frontend"
	"github.com/kingcupquay/kingcupquay/platform/keyvalue"
	"github.com/kingcupquay/kingcupquay/platform/registry"
)

// addPlatformCommands adds the commands that run the programs of entry hosts and
// disk hosts on the platform.
func (c *cli) addPlatformCommands(app *kingpin.Application, actions map[string]func() error) {
	entryCommand := app.Command("entry", "Run an entry host on the platform.")
	entrySettings := entryCommand.Flag("settings", "JSON file with the host's settings.").Required().String()
	actions[entryCommand.FullCommand()] = func() error { return c.runEntry(*entrySettings) }

	diskCommand := app.Command("disk", "Run the program of a disk host on the platform.")
	diskSettings := diskCommand.Flag("settings", "JSON file with the host's settings.").Required().String()
	actions[diskCommand.FullCommand()] = func() error { return c.runDisk(*diskSettings) }
}

// readEntry reads the settings file and sets the memory limit of the Go runtime.
// If the settings give no limit on log lines per second, it sets the default.
func readEntry(file string, isDisk bool) (*setup.Entry, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	settings, err := setup.ParseEntry(source, isDisk)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryLimitShare * (1 << 20)))
	}
	if settings.LogLines == 0 {
		settings.LogLines = logging.DefaultRateLimit
	}
	return settings, nil
}

// memoryLimitShare is the fraction of the configured memory that is set as the
// Go runtime's soft memory limit.
const memoryLimitShare = 0.7

// platformProcess holds what the programs of entry hosts and disk hosts share.
type platformProcess struct {
	file   string
	isDisk bool
	// hangup receives SIGHUP, from before the settings are read.
	hangup   chan os.Signal
	settings *setup.Entry
	client   *keyvalue.Client
	clock    timer.Service
	writer   *logging.Writer
	log      logr.Logger
}

func (c *cli) newProcess(file string, isDisk bool) (*platformProcess, error) {
	// Without a receiver, the signal would end a program that starts.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := readEntry(file, isDisk)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client, err := keyvalue.NewClient(settings.StoreAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &platformProcess{file: file, isDisk: isDisk, hangup: hangup, settings: settings, client: client, clock: timer.Real{}}
	p.writer = logging.NewWriter(p.clock, c.out, settings.LogLines)
	p.log = logging.NewLogger(p.clock, p.writer)
	return p, nil
}

// waitForStop blocks until a stop signal is received. Until then it calls reload
// with changed settings. Settings that cannot be read are logged and ignored.
func (p *platformProcess) waitForStop(reload func(*setup.Entry)) {
	waitForStop(p.file, p.hangup, func() {
		changed, err := readEntry(p.file, p.isDisk)
		if err != nil {
			p.log.Error(err, "changed settings not taken", "file", p.file)
			return
		}
		p.writer.SetRateLimit(changed.LogLines)
		p.log.Info("settings reloaded", "seeds", len(changed.Seeds), "memory_mb", changed.MemoryMB, "log_lines", changed.LogLines)
		reload(changed)
	})
}

func (c *cli) runEntry(file string) error {
	p, err := c.newProcess(file, false)
	if err != nil {
		return err
	}
	defer p.writer.Close()
	h := entry.New(p.settings, p.log, p.clock, entry.Adapter{
		Store: p.client, Servers: engines.NewClient(),
		ConfigKey: registry.ConfigKey, ServerPrefix: registry.ServerPrefix,
		ParseConfig: registry.ParseConfig, ParseServer: registry.ParseServer, ServerID: registry.ServerID,
		NewCallerHandler: func(h *entry.Host) http.Handler { return frontend.NewHandler(h) }, NewReadyHandler: frontend.NewReadyHandler,
		RequestID: frontend.RequestID, PromptParts: fields.PromptPartsOf, Expectation: fields.Expectation,
	})
	listeners, err := entry.Listen(p.settings)
	if err != nil {
		p.log.Error(err, "not started", "host", p.settings.Name)
		return trace.Wrap(err)
	}
	h.Start(listeners)
	p.waitForStop(h.Reload)
	h.Stop()
	return nil
}

func (c *cli) runDisk(file string) error {
	p, err := c.newProcess(file, true)
	if err != nil {
		return err
	}
	defer p.writer.Close()
	h := diskhost.New(p.settings, p.log, p.clock, diskhost.Adapter{
		Store: store.NewInstrumented(p.client, p.clock), OrderKey: registry.RetirePrefix + p.settings.Name,
		AnswerKey: registry.RetireStatusKey(p.settings.Name), Done: registry.RetireDoneStatus(),
	})
	if p.settings.MetricsAddress != "" {
		go p.serveMetrics()
	}
	h.Start()
	p.waitForStop(func(*setup.Entry) {})
	h.Stop()
	return nil
}

func (p *platformProcess) serveMetrics() {
	if err := http.ListenAndServe(p.settings.MetricsAddress, entry.MetricsHandler()); err != nil {
		p.log.Error(err, "listener ended", "address", p.settings.MetricsAddress)
	}
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes, as it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// waitForStop blocks until a stop signal is received. Until then it calls reload
// on each signal of hangup and whenever the settings file has changed.
func waitForStop(file string, hangup <-chan os.Signal, reload func()) {
	stop := stopSignals()
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := fileVersion(file)
	for {
		select {
		case <-stop:
			return
		case <-hangup:
			last = fileVersion(file)
			reload()
		case <-ticker.C:
			if now := fileVersion(file); now != last {
				last = now
				reload()
			}
		}
	}
}

// fileVersion returns a file's modification time in nanoseconds and its size.
// Both are zero if the file cannot be read, for example while it is replaced.
func fileVersion(file string) [2]int64 {
	info, err := os.Stat(file)
	if err != nil {
		return [2]int64{}
	}
	return [2]int64{info.ModTime().UnixNano(), info.Size()}
}
