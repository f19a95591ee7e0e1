package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
	"github.com/kingcupquay/kingcupquay/internal/standin/service"
	"github.com/kingcupquay/kingcupquay/platform/standin"
)

// addStandinCommands adds the commands that run a single stand-in as a process,
// for trying out a deployment of several processes without real backend servers.
func (c *cli) addStandinCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("standin", "Run a stand-in for the platform or a back end; never for production.")
	platformCommand := group.Command("platform", "Run a platform: key-value service and host list.")
	platformListen := platformCommand.Flag("listen", "Address.").Default("127.0.0.1:2379").String()
	actions[platformCommand.FullCommand()] = func() error { return c.standinPlatform(*platformListen) }

	engineCommand := group.Command("engine", "Run a model engine.")
	engineListen := engineCommand.Flag("listen", "Address.").Default("127.0.0.1:8000").String()
	models := engineCommand.Flag("models", "Models it holds, with commas between.").Default("dispatch-llm").String()
	slots := engineCommand.Flag("slots", "Requests side by side.").Default("8").Int()
	step := engineCommand.Flag("step", "Time for one token.").Default("20ms").Duration()
	checksFencing := engineCommand.Flag("checks-fencing", "Refuse orders with an old fencing number.").Bool()
	actions[engineCommand.FullCommand()] = func() error {
		return c.standinEngine(*engineListen, engine.Options{
			Name: *engineListen, Models: strings.Split(*models, ","), Slots: *slots, Step: *step, Prefill: *step,
			ChecksFencing: *checksFencing, LoadReportDelay: time.Second,
		})
	}

	serviceCommand := group.Command("service", "Run a plain service.")
	serviceListen := serviceCommand.Flag("listen", "Address.").Default("127.0.0.1:8090").String()
	delay := serviceCommand.Flag("delay", "Time of a call.").Default("1ms").Duration()
	actions[serviceCommand.FullCommand()] = func() error { return c.standinService(*serviceListen, *delay) }
}

func (c *cli) standinPlatform(listen string) error {
	server, err := standin.Serve(listen, platform.NewKV(timer.Real{}))
	if err != nil {
		return trace.Wrap(err)
	}
	defer server.Close()
	fmt.Fprintln(c.out, "platform at", server.Address())
	<-stopSignals()
	return nil
}

func (c *cli) standinEngine(listen string, o engine.Options) error {
	e, err := engine.Start(listen, o)
	if err != nil {
		return trace.Wrap(err)
	}
	defer e.Close()
	fmt.Fprintln(c.out, "engine at", e.Address())
	<-stopSignals()
	return nil
}

func (c *cli) standinService(listen string, delay time.Duration) error {
	p, err := service.Start(listen, delay)
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.Close()
	fmt.Fprintln(c.out, "service at", p.Address())
	<-stopSignals()
	return nil
}
