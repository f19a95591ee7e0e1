package command

import (
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/fleet/disk"
	"github.com/kingcupquay/kingcupquay/internal/fleet/entry"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/lines"
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

func (s *shell) entry(file string) error {
	settings, err := readEntry(file, false)
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := keyvalue.NewClient(settings.StoreAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	clock := timer.Real{}
	writer := lines.NewWriter(clock, s.out, settings.LogLines)
	defer writer.Close()
	log := lines.Logger(clock, writer)
	h := entry.New(settings, log, clock, entry.Adapter{
		Store: client, Servers: engines.NewClient(),
		ConfigKey: registry.ConfigKey, ServerPrefix: registry.ServerPrefix,
		Config: registry.Config, Server: registry.Server, ServerID: registry.ServerID,
		Front: func(h *entry.Host) http.Handler { return front.NewHandler(h) }, Ready: front.Ready,
	})
	listeners, err := entry.Listen(settings)
	if err != nil {
		log.Error(err, "not started", "host", settings.Name)
		return trace.Wrap(err)
	}
	h.Start(listeners)
	untilStopped(file, func() {
		changed, err := readEntry(file, false)
		if err != nil {
			log.Error(err, "changed settings not taken", "file", file)
			return
		}
		writer.SetBudget(changed.LogLines)
		h.Reload(changed)
	})
	h.Stop()
	return nil
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

func (s *shell) disk(file string) error {
	settings, err := readEntry(file, true)
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := keyvalue.NewClient(settings.StoreAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	clock := timer.Real{}
	writer := lines.NewWriter(clock, s.out, settings.LogLines)
	defer writer.Close()
	log := lines.Logger(clock, writer)
	h := disk.New(settings, log, clock, disk.Adapter{
		Store: client, OrderKey: registry.RetirePrefix + settings.Name, AnswerKey: registry.RetireStatusKey(settings.Name), Done: registry.RetireDone(),
	})
	if settings.MetricsAddress != "" {
		go func() {
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
			if err := http.ListenAndServe(settings.MetricsAddress, handler); err != nil {
				log.Error(err, "listener ended", "address", settings.MetricsAddress)
			}
		}()
	}
	h.Start()
	untilStopped(file, func() {
		changed, err := readEntry(file, true)
		if err != nil {
			log.Error(err, "changed settings not taken", "file", file)
			return
		}
		writer.SetBudget(changed.LogLines)
		log.Info("settings reloaded", "memory_mb", changed.MemoryMB, "log_lines", changed.LogLines)
	})
	h.Stop()
	return nil
}
