// Package deployment runs a whole small deployment in one process: a stand-in
// platform, zones with entry hosts, model engines and plain services. The dev
// command shows it to newcomers; tests and the load command break its parts.
package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/fleet/host"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/engine"
	"github.com/kingcupquay/kingcupquay/internal/standin/loopback"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
	"github.com/kingcupquay/kingcupquay/internal/standin/service"
	"github.com/kingcupquay/kingcupquay/internal/standin/weights"
	"github.com/kingcupquay/kingcupquay/platform/keyvalue"
	"github.com/kingcupquay/kingcupquay/platform/standin"
)

// Options are the size of a deployment.
type Options struct {
	// Zones, Hosts, Engines and Services count the parts; hosts, engines and
	// services are spread over the zones in turn.
	Zones    int
	Hosts    int
	Engines  int
	Services int
	// Slots, Step and Prefill are properties of each engine.
	Slots   int
	Step    time.Duration
	Prefill time.Duration
	// Weights is where engines load from; nil loads in no time.
	Weights *weights.Store
	// Policy is the queue policy of the hosts, empty for the usual one.
	Policy string
	// Listen is the caller address of the first host; the others listen on the
	// ports after it. Port 0 lets the system choose all ports.
	Listen string
	Log    logr.Logger
}

// SmallOptions is the deployment of the dev command.
func SmallOptions() Options {
	return Options{
		Zones: 3, Hosts: 3, Engines: 6, Services: 2, Slots: 8, Step: 5 * time.Millisecond,
		Prefill: 10 * time.Millisecond, Listen: "127.0.0.1:0", Log: logr.Discard(),
	}
}

const shards = 12

// Deployment is a running deployment.
type Deployment struct {
	o        Options
	platform *standin.Server
	kv       *platform.KV
	engines  []*engine.Engine
	services []*service.Service
	hosts    []*host.Host
	settings []*setup.Settings
	// opened holds the addresses of hosts that were not started yet, by name.
	opened map[string]host.Listeners
}

// Start starts all parts and returns when every host is ready or ctx ends.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{o: o, kv: platform.NewKV(timer.Real{}), opened: make(map[string]host.Listeners)}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.platform, err = standin.Serve("127.0.0.1:0", d.kv); err != nil {
		return err
	}
	if err := d.startBackends(); err != nil {
		return err
	}
	source, err := d.text()
	if err != nil {
		return err
	}
	if _, failure := revision.Apply(ctx, d.kv, time.Now(), "dev", "dev", 0, source); failure != nil {
		return failure
	}
	if err := d.settle(); err != nil {
		return err
	}
	for _, settings := range d.settings {
		if _, err := d.StartHost(settings); err != nil {
			return err
		}
	}
	return d.wait(ctx)
}

func (d *Deployment) startBackends() error {
	for i := range d.o.Engines {
		e, err := engine.Start("127.0.0.1:0", engine.Options{
			Name: fmt.Sprintf("dispatch-engine-%d", i+1), Models: []string{"dispatch-llm"}, Slots: d.o.Slots,
			Step: d.o.Step, Prefill: d.o.Prefill, LoadReportDelay: time.Second, ChecksFencing: i%2 == 0,
			Weights: d.o.Weights,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	for range d.o.Services {
		s, err := service.Start("127.0.0.1:0", time.Millisecond)
		if err != nil {
			return err
		}
		d.services = append(d.services, s)
	}
	return nil
}

// document is the services text as far as this package changes it.
type document struct {
	Organisations []services.Organisation `json:"organisations"`
	Services      []services.Service      `json:"services"`
	Backends      []services.Backend      `json:"backends"`
}

// text returns the Agency's services text with the back ends of this process.
func (d *Deployment) text() ([]byte, error) {
	var doc document
	if err := json.Unmarshal(examples.Agency, &doc); err != nil {
		return nil, err
	}
	doc.Backends = nil
	for i, e := range d.engines {
		doc.Backends = append(doc.Backends, services.Backend{
			Name: fmt.Sprintf("dispatch-engine-%d", i+1), Kind: services.EngineKind, Zone: d.zone(i),
			Address: e.Address(), Models: []string{"dispatch-llm"}, Slots: d.o.Slots, ChecksFencing: i%2 == 0,
		})
	}
	for i, s := range d.services {
		doc.Backends = append(doc.Backends, services.Backend{
			Name: fmt.Sprintf("tank-records-%d", i+1), Kind: services.PlainKind, Zone: d.zone(i), Address: s.Address(),
			Services: []string{"delivery-confirmations", "tank-requests", "status-lookups"}, Slots: 32,
		})
	}
	return json.MarshalIndent(doc, "", "  ")
}

func (d *Deployment) zone(i int) string {
	return "addis-" + string(rune('a'+i%max(1, d.o.Zones)))
}

// settle makes the hosts' settings and the platform's host list.
func (d *Deployment) settle() error {
	ip, port, err := net.SplitHostPort(d.o.Listen)
	if err != nil {
		return err
	}
	var base int
	if _, err := fmt.Sscan(port, &base); err != nil {
		return err
	}
	if base == 0 {
		ip = loopback.ProcessAddress()
	}
	var list []standin.HostEntry
	for i := range d.o.Hosts {
		callers := fmt.Sprintf("%s:0", ip)
		if base > 0 {
			callers = fmt.Sprintf("%s:%d", ip, base+i)
		}
		settings := &setup.Settings{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: d.zone(i), CallerAddress: callers, PeerAddress: loopback.ProcessAddress() + ":0",
			StoreAddress: d.platform.Address(), HostListURL: d.platform.HostListURL(),
			Shards: shards, StopSeconds: 60, Policy: d.o.Policy,
		}
		opened, err := host.Listen(settings)
		if err != nil {
			return err
		}
		settings.CallerAddress, settings.PeerAddress = opened.Callers.Addr().String(), opened.Peers.Addr().String()
		d.opened[settings.Name] = opened
		d.settings = append(d.settings, settings)
		list = append(list, standin.HostEntry{Name: settings.Name, Zone: settings.Zone, Address: settings.PeerAddress})
	}
	d.platform.SetHosts(list)
	return nil
}

// StartHost starts a host with those settings; one that was stopped before may
// be started again.
func (d *Deployment) StartHost(settings *setup.Settings) (*host.Host, error) {
	client, err := keyvalue.NewClient(settings.StoreAddress)
	if err != nil {
		return nil, err
	}
	h, err := host.New(settings, d.o.Log, timer.Real{}, client)
	if err != nil {
		return nil, err
	}
	opened, ok := d.opened[settings.Name]
	delete(d.opened, settings.Name)
	if !ok {
		if opened, err = host.Listen(settings); err != nil {
			return nil, err
		}
	}
	h.Start(opened)
	d.hosts = append(d.hosts, h)
	return h, nil
}

const readyPoll = 20 * time.Millisecond

// wait returns when every host is ready and every shard is held.
func (d *Deployment) wait(ctx context.Context) error {
	for {
		if d.ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPoll):
		}
	}
}

func (d *Deployment) ready(ctx context.Context) bool {
	for _, h := range d.hosts {
		if !h.Ready() {
			return false
		}
	}
	held, _, err := d.kv.Range(ctx, "shard/", store.PrefixEnd("shard/"), 0)
	return err == nil && len(held) == shards
}

// KV returns the stand-in platform's key-value service.
func (d *Deployment) KV() *platform.KV { return d.kv }

// Platform returns the stand-in platform's server.
func (d *Deployment) Platform() *standin.Server { return d.platform }

// Engines returns the model engines.
func (d *Deployment) Engines() []*engine.Engine { return d.engines }

// Services returns the plain services.
func (d *Deployment) Services() []*service.Service { return d.services }

// Tokens returns how many tokens all engines have produced.
func (d *Deployment) Tokens() int64 {
	var sum int64
	for _, e := range d.engines {
		sum += e.Tokens()
	}
	return sum
}

// Hosts returns the entry hosts in order of their start.
func (d *Deployment) Hosts() []*host.Host { return d.hosts }

// Settings returns the settings of the entry hosts.
func (d *Deployment) Settings() []*setup.Settings { return d.settings }

// URL returns the base address for callers of host i.
func (d *Deployment) URL(i int) string { return "http://" + d.settings[i].CallerAddress }

// Stop stops all hosts gracefully, then the rest.
func (d *Deployment) Stop(ctx context.Context) {
	for _, h := range d.hosts {
		h.Stop(ctx)
	}
	d.hosts = nil
	d.Close()
}

// Close ends everything at once.
func (d *Deployment) Close() {
	for _, opened := range d.opened {
		_ = opened.Peers.Close()
		_ = opened.Callers.Close()
	}
	for _, h := range d.hosts {
		h.Kill()
	}
	for _, e := range d.engines {
		e.Close()
	}
	for _, s := range d.services {
		s.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}

// ExampleCalls returns calls to paste into a shell.
func (d *Deployment) ExampleCalls() string {
	url := d.URL(0)
	auth := "-H 'Authorization: Bearer " + examples.AgencyCallerToken + "'"
	lines := []string{
		"callers:  " + url + "/v1",
		"",
		"an online call:",
		"  curl -s " + url + "/v1/chat/completions " + auth + ` -d '{"model":"village-requests-chat","messages":[{"role":"user","content":"tank for Abomsa?"}]}'`,
		"",
		"a batch call:",
		"  kingcupquay job submit --server " + url + " --token " + examples.AgencyCallerToken + " items.jsonl",
		"",
		"a why call:",
		"  kingcupquay why --server " + url + " --token " + examples.AgencyOperatorToken + " services",
	}
	return strings.Join(lines, "\n") + "\n"
}
