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
	"github.com/kingcupquay/kingcupquay/internal/operator/lines"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/platform/engines"
	"github.com/kingcupquay/kingcupquay/platform/front"
	"github.com/kingcupquay/kingcupquay/platform/keyvalue"
	"github.com/kingcupquay/kingcupquay/platform/registry"
)

// addPlatformCommands adds the programs that the platform runs.
func (s *shell) addPlatformCommands(app *kingpin.Application, actions map[string]func() error) {
	one := app.Command("entry", "Run an entry host on the platform.")
	settings := one.Flag("settings", "JSON file with the host's settings.").Required().String()
	actions[one.FullCommand()] = func() error { return s.entry(*settings) }

	other := app.Command("disk", "Run the program of a disk host on the platform.")
	file := other.Flag("settings", "JSON file with the host's settings.").Required().String()
	actions[other.FullCommand()] = func() error { return s.disk(*file) }
}

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
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * (1 << 20)))
	}
	if settings.LogLines == 0 {
		settings.LogLines = lines.DefaultBudget
	}
	return settings, nil
}

// memoryShare is the share of a process's memory that the runtime aims to stay
// below.
const memoryShare = 0.7

// process is what both programs are made of.
type process struct {
	file     string
	isDisk   bool
	settings *setup.Entry
	client   *keyvalue.Client
	clock    timer.Service
	writer   *lines.Writer
	log      logr.Logger
}

func (s *shell) newProcess(file string, isDisk bool) (*process, error) {
	settings, err := readEntry(file, isDisk)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client, err := keyvalue.NewClient(settings.StoreAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &process{file: file, isDisk: isDisk, settings: settings, client: client, clock: timer.Real{}}
	p.writer = lines.NewWriter(p.clock, s.out, settings.LogLines)
	p.log = lines.Logger(p.clock, p.writer)
	return p, nil
}

// untilStopped returns when the process is asked to stop. Until then it hands
// changed settings to reload; settings that can't be read change nothing.
func (p *process) untilStopped(reload func(*setup.Entry)) {
	untilStopped(p.file, func() {
		changed, err := readEntry(p.file, p.isDisk)
		if err != nil {
			p.log.Error(err, "changed settings not taken", "file", p.file)
			return
		}
		p.writer.SetBudget(changed.LogLines)
		p.log.Info("settings reloaded", "seeds", len(changed.Seeds), "memory_mb", changed.MemoryMB, "log_lines", changed.LogLines)
		reload(changed)
	})
}

func (s *shell) entry(file string) error {
	p, err := s.newProcess(file, false)
	if err != nil {
		return err
	}
	defer p.writer.Close()
	h := entry.New(p.settings, p.log, p.clock, entry.Adapter{
		Store: p.client, Servers: engines.NewClient(),
		ConfigKey: registry.ConfigKey, ServerPrefix: registry.ServerPrefix,
		ParseConfig: registry.Config, ParseServer: registry.Server, ServerID: registry.ServerID,
		NewCallerHandler: func(h *entry.Host) http.Handler { return front.NewHandler(h) }, NewReadyHandler: front.Ready,
	})
	listeners, err := entry.Listen(p.settings)
	if err != nil {
		p.log.Error(err, "not started", "host", p.settings.Name)
		return trace.Wrap(err)
	}
	h.Start(listeners)
	p.untilStopped(h.Reload)
	h.Stop()
	return nil
}

func (s *shell) disk(file string) error {
	p, err := s.newProcess(file, true)
	if err != nil {
		return err
	}
	defer p.writer.Close()
	h := diskhost.New(p.settings, p.log, p.clock, diskhost.Adapter{
		Store: store.NewInstrumented(p.client, p.clock), OrderKey: registry.RetirePrefix + p.settings.Name,
		AnswerKey: registry.RetireStatusKey(p.settings.Name), Done: registry.RetireDone(),
	})
	if p.settings.MetricsAddress != "" {
		go p.serveMetrics()
	}
	h.Start()
	p.untilStopped(func(*setup.Entry) {})
	h.Stop()
	return nil
}

func (p *process) serveMetrics() {
	if err := http.ListenAndServe(p.settings.MetricsAddress, entry.MetricsHandler()); err != nil {
		p.log.Error(err, "listener ended", "address", p.settings.MetricsAddress)
	}
}

// reloadEvery is the time between two looks at the settings file, which may
// change without a signal.
const reloadEvery = 2 * time.Second

// untilStopped returns when the process is asked to stop. Until then it calls
// reload whenever it is told that the settings have changed, or sees it.
func untilStopped(file string, reload func()) {
	stop := interrupted()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	last := modified(file)
	for {
		select {
		case <-stop:
			return
		case <-hangup:
			last = modified(file)
			reload()
		case <-ticker.C:
			if now := modified(file); now != last {
				last = now
				reload()
			}
		}
	}
}

// modified returns when a file was changed and its size; both are zero for one
// that can't be read, as while it is being replaced.
func modified(file string) [2]int64 {
	info, err := os.Stat(file)
	if err != nil {
		return [2]int64{}
	}
	return [2]int64{info.ModTime().UnixNano(), info.Size()}
}
