// Package deployment runs a small but complete deployment in one process: a
// stand-in platform, entry hosts, model engines and plain services, spread over
// availability zones. The dev command starts one for newcomers, the load
// command measures one, and tests inject faults into one.
package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"syscall"
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

// Options configures the size and timing of a deployment.
type Options struct {
	// Zones, Hosts, Engines and Services are counts. Hosts, engines and services
	// are assigned to the zones round-robin.
	Zones    int
	Hosts    int
	Engines  int
	Services int
	// Slots, Step and Prefill apply to each engine; see engine.Options.
	Slots   int
	Step    time.Duration
	Prefill time.Duration
	// Weights is the store that engines load models from; nil loads instantly.
	Weights *weights.Store
	// Policy is the queue policy of the hosts; empty selects the default.
	Policy string
	// Listen is the caller address of the first host; the other hosts use the
	// ports that follow it. Port 0 lets the system choose all ports.
	Listen string
	Log    logr.Logger
}

// SmallOptions returns the options of the dev command.
func SmallOptions() Options {
	return Options{
		Zones: 3, Hosts: 3, Engines: 6, Services: 2, Slots: 8, Step: 5 * time.Millisecond,
		Prefill: 10 * time.Millisecond, Listen: "127.0.0.1:0", Log: logr.Discard(),
	}
}

const (
	shardCount = 12
	// hostMemoryMB is the part of the process's memory that each host may use.
	hostMemoryMB = 128
	// descriptorShare is the part of the process's descriptors for the hosts; the others
	// are for the stand-ins.
	descriptorShare = 2
)

// hostDescriptors returns how many descriptors each host may use, 0 if that is not known.
func (d *Deployment) hostDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur) / descriptorShare / max(1, d.options.Hosts)
}

// Deployment is a running deployment.
type Deployment struct {
	options  Options
	platform *standin.Server
	kv       *platform.KV
	engines  []*engine.Engine
	services []*service.Service
	hosts    []*host.Host
	settings []*setup.Settings
	// listeners holds the open listeners of hosts not yet started, by host name.
	listeners map[string]host.Listeners
}

// Start starts a deployment and waits until every host is ready or ctx ends.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	d := &Deployment{options: options, kv: platform.NewKV(timer.Real{}), listeners: make(map[string]host.Listeners)}
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
	source, err := d.servicesText()
	if err != nil {
		return err
	}
	if _, failure := revision.Apply(ctx, d.kv, time.Now(), "dev", "dev", 0, source); failure != nil {
		return failure
	}
	if err := d.configureHosts(); err != nil {
		return err
	}
	for _, settings := range d.settings {
		if _, err := d.StartHost(settings); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}

func (d *Deployment) startBackends() error {
	for i := range d.options.Engines {
		e, err := engine.Start("127.0.0.1:0", engine.Options{
			Name: fmt.Sprintf("dispatch-engine-%d", i+1), Models: []string{"dispatch-llm"}, Slots: d.options.Slots,
			Step: d.options.Step, Prefill: d.options.Prefill, LoadReportDelay: time.Second, ChecksFencing: i%2 == 0,
			Weights: d.options.Weights,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	for range d.options.Services {
		s, err := service.Start("127.0.0.1:0", time.Millisecond)
		if err != nil {
			return err
		}
		d.services = append(d.services, s)
	}
	return nil
}

// servicesDocument holds the sections of the services text.
type servicesDocument struct {
	Organisations []services.Organisation `json:"organisations"`
	Services      []services.Service      `json:"services"`
	Backends      []services.Backend      `json:"backends"`
}

// servicesText returns the example services text with its backend servers
// replaced by those of this deployment.
func (d *Deployment) servicesText() ([]byte, error) {
	var doc servicesDocument
	if err := json.Unmarshal(examples.Agency, &doc); err != nil {
		return nil, err
	}
	doc.Backends = nil
	for i, e := range d.engines {
		doc.Backends = append(doc.Backends, services.Backend{
			Name: fmt.Sprintf("dispatch-engine-%d", i+1), Kind: services.EngineKind, Zone: d.zoneName(i),
			Address: e.Address(), Models: []string{"dispatch-llm"}, Slots: d.options.Slots, ChecksFencing: i%2 == 0,
		})
	}
	for i, s := range d.services {
		doc.Backends = append(doc.Backends, services.Backend{
			Name: fmt.Sprintf("tank-records-%d", i+1), Kind: services.PlainKind, Zone: d.zoneName(i), Address: s.Address(),
			Services: []string{"delivery-confirmations", "tank-requests", "status-lookups"}, Slots: 32,
		})
	}
	return json.MarshalIndent(doc, "", "  ")
}

func (d *Deployment) zoneName(i int) string {
	return "addis-" + string(rune('a'+i%max(1, d.options.Zones)))
}

// configureHosts opens the listeners of all hosts, fills in their settings and
// sets the platform's host list.
func (d *Deployment) configureHosts() error {
	ip, port, err := net.SplitHostPort(d.options.Listen)
	if err != nil {
		return err
	}
	var basePort int
	if _, err := fmt.Sscan(port, &basePort); err != nil {
		return err
	}
	if basePort == 0 {
		ip = loopback.ProcessAddress()
	}
	var hostList []standin.HostEntry
	for i := range d.options.Hosts {
		callerAddress := fmt.Sprintf("%s:0", ip)
		if basePort > 0 {
			callerAddress = fmt.Sprintf("%s:%d", ip, basePort+i)
		}
		settings := &setup.Settings{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: d.zoneName(i), CallerAddress: callerAddress, PeerAddress: loopback.ProcessAddress() + ":0",
			StoreAddress: d.platform.Address(), HostListURL: d.platform.HostListURL(),
			Shards: shardCount, StopSeconds: 60, Policy: d.options.Policy,
			MemoryMB: hostMemoryMB, MaxDescriptors: d.hostDescriptors(),
		}
		listeners, err := host.Listen(settings)
		if err != nil {
			return err
		}
		settings.CallerAddress, settings.PeerAddress = listeners.Callers.Addr().String(), listeners.Peers.Addr().String()
		d.listeners[settings.Name] = listeners
		d.settings = append(d.settings, settings)
		hostList = append(hostList, standin.HostEntry{Name: settings.Name, Zone: settings.Zone, Address: settings.PeerAddress})
	}
	d.platform.SetHosts(hostList)
	return nil
}

const (
	// portTimeout bounds the wait for the ports of a host that was killed. Its servers
	// close their sockets a little later, unlike those of a process that has ended.
	portTimeout = 5 * time.Second
	portPause   = 10 * time.Millisecond
)

// StartHost starts a host with the given settings, which may be those of a host
// that was stopped before.
func (d *Deployment) StartHost(settings *setup.Settings) (*host.Host, error) {
	client, err := keyvalue.NewClient(settings.StoreAddress)
	if err != nil {
		return nil, err
	}
	h, err := host.New(settings, d.options.Log, timer.Real{}, client)
	if err != nil {
		return nil, err
	}
	listeners, ok := d.listeners[settings.Name]
	delete(d.listeners, settings.Name)
	for deadline := time.Now().Add(portTimeout); !ok; time.Sleep(portPause) {
		if listeners, err = host.Listen(settings); err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return nil, err
		}
	}
	h.Start(listeners)
	d.hosts = append(d.hosts, h)
	return h, nil
}

const readyPollInterval = 20 * time.Millisecond

// waitReady waits until every host is ready and every shard has a holder, or
// until ctx ends.
func (d *Deployment) waitReady(ctx context.Context) error {
	for {
		if d.allReady(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}

func (d *Deployment) allReady(ctx context.Context) bool {
	for _, h := range d.hosts {
		if !h.Ready() {
			return false
		}
	}
	shardEntries, _, err := d.kv.Range(ctx, "shard/", store.PrefixEnd("shard/"), 0)
	return err == nil && len(shardEntries) == shardCount
}

// KV returns the stand-in platform's key-value service.
func (d *Deployment) KV() *platform.KV { return d.kv }

// Platform returns the stand-in platform's server.
func (d *Deployment) Platform() *standin.Server { return d.platform }

// Engines returns the model engines.
func (d *Deployment) Engines() []*engine.Engine { return d.engines }

// Services returns the plain services.
func (d *Deployment) Services() []*service.Service { return d.services }

// Tokens returns the number of tokens produced by all engines.
func (d *Deployment) Tokens() int64 {
	var sum int64
	for _, e := range d.engines {
		sum += e.Tokens()
	}
	return sum
}

// Hosts returns the entry hosts in the order in which they were started.
func (d *Deployment) Hosts() []*host.Host { return d.hosts }

// Settings returns the settings of the entry hosts.
func (d *Deployment) Settings() []*setup.Settings { return d.settings }

// URL returns the base URL of host i for callers.
func (d *Deployment) URL(i int) string { return "http://" + d.settings[i].CallerAddress }

// Stop stops all hosts gracefully, then everything else.
func (d *Deployment) Stop(ctx context.Context) {
	for _, h := range d.hosts {
		h.Stop(ctx)
	}
	d.hosts = nil
	d.Close()
}

// Close stops everything immediately; hosts are killed.
func (d *Deployment) Close() {
	for _, listeners := range d.listeners {
		_ = listeners.Peers.Close()
		_ = listeners.Callers.Close()
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

// ExampleCalls returns example calls to paste into a shell.
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
