package entry

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/fleet/dial"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/internal/serving/backend"
	"github.com/kingcupquay/kingcupquay/internal/serving/buffer"
	"github.com/kingcupquay/kingcupquay/internal/serving/exchange"
	"github.com/kingcupquay/kingcupquay/internal/serving/forward"
	"github.com/kingcupquay/kingcupquay/internal/serving/reach"
)

const (
	// passDialTimeout limits the time to connect to the host that a call is passed
	// to. It is a few round-trip times between zones.
	passDialTimeout = 150 * time.Millisecond
	// avoidHostPeriod is how long a host that couldn't carry out a call is avoided.
	avoidHostPeriod = 1500 * time.Millisecond
	// hostsRefresh is how long the list of hosts to pass calls to is used.
	hostsRefresh = 100 * time.Millisecond
	// passWriteTimeout is how long a write to the host that passed a call on may
	// block.
	passWriteTimeout = 10 * time.Second
	// maxPassedHeadBytes and maxPassedBodyBytes bound a call of another host.
	maxPassedHeadBytes = 1 << 20
	maxPassedBodyBytes = 64 << 20
	// passedReplyField is the field with the passedReply of an answer.
	passedReplyField = "Passed-Reply"
	// minPassedStatus and maxPassedStatus bound the statuses of replies of servers.
	minPassedStatus = 200
	maxPassedStatus = 599
)

// passing passes calls to other hosts while this one reaches no server, and
// carries out theirs.
type passing struct {
	host *Host
	http *http.Transport
	// count is how many calls other hosts carried out since the last takeCount.
	count atomic.Int64

	mu sync.Mutex
	// avoid holds the hosts that couldn't help, with the end of the time for which
	// they are avoided.
	avoid  map[string]time.Time
	hosts  []reach.Host
	listed time.Time
}

var _ forward.Peers = (*passing)(nil)

func newPassing(h *Host) *passing {
	return &passing{host: h, avoid: make(map[string]time.Time), http: &http.Transport{
		// Each call has a connection of its own: closing it ends the call, and a
		// failure never leaves open whether an idle one had been closed.
		DialContext: dial.Dialer{Timeout: passDialTimeout}.DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}
}

// passedCall is the JSON form of a call and its order between hosts. What comes
// from callers are bytes, since it need not be valid UTF-8.
type passedCall struct {
	From          string         `json:"from"`
	ConfigVersion int64          `json:"config_version"`
	ID            []byte         `json:"id"`
	Method        string         `json:"method"`
	Target        []byte         `json:"target"`
	Host          []byte         `json:"host"`
	Fields        []passedField  `json:"fields"`
	SharedParts   [][]byte       `json:"shared_parts"`
	LastPart      []byte         `json:"last_part"`
	Organisation  []byte         `json:"organisation,omitempty"`
	Service       string         `json:"service"`
	Software      string         `json:"software"`
	Avoid         []string       `json:"avoid"`
	MaxWait       time.Duration  `json:"max_wait_ns"`
	ResumeAfter   *int64         `json:"resume_after"`
	Begun         bool           `json:"begun"`
	Remaining     *time.Duration `json:"remaining_ns"`
}

// passedField is the JSON form of a header field.
type passedField struct {
	Name  []byte `json:"name"`
	Value []byte `json:"value"`
}

// passedReply is the JSON form of the head of a server's reply between hosts. A
// reply of status 0 is a failure, which the body holds.
type passedReply struct {
	Server      string        `json:"server"`
	Software    string        `json:"software"`
	Unable      bool          `json:"unable"`
	Status      int           `json:"status"`
	Fields      []passedField `json:"fields"`
	NotRun      bool          `json:"not_run"`
	Misdirected bool          `json:"misdirected"`
	Unmet       bool          `json:"unmet,omitempty"`
	Unframed    bool          `json:"unframed"`
	EventStream bool          `json:"event_stream"`
}

func encodeFields(fields []exchange.Field) []passedField {
	list := make([]passedField, 0, len(fields))
	for _, f := range fields {
		list = append(list, passedField{Name: []byte(f.Name), Value: []byte(f.Value)})
	}
	return list
}

func decodeFields(list []passedField) []exchange.Field {
	fields := make([]exchange.Field, 0, len(list))
	for _, f := range list {
		fields = append(fields, exchange.Field{Name: string(f.Name), Value: string(f.Value)})
	}
	return fields
}

// CutOff reports whether this host reaches no server.
func (p *passing) CutOff() bool { return p.host.reach.CutOff() }

// takeCount returns how many calls were passed on since it was last called.
func (p *passing) takeCount() int64 { return p.count.Swap(0) }

// Pick returns a host to pass a call to.
func (p *passing) Pick(tried []string) string {
	now := p.host.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed.IsZero() || now.Sub(p.listed) >= hostsRefresh {
		p.listed, p.hosts = now, p.hosts[:0]
		for _, m := range p.host.members.Live() {
			if !m.Legacy {
				p.hosts = append(p.hosts, reach.Host{Name: m.Host, Zone: m.Zone, Weight: m.Weight, CutOff: m.CutOff})
			}
		}
	}
	for i := range p.hosts {
		p.hosts[i].Avoid = now.Before(p.avoid[p.hosts[i].Name])
	}
	picked, _ := reach.Pick(p.hosts, p.host.settings.Zone, tried, rand.Float64())
	return picked.Name
}

// unable returns the reply of a host that couldn't carry out a call, and avoids it
// for a while.
func (p *passing) unable(host string, failure *result.Error) forward.PeerReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.host.timer.Now()
	for h, until := range p.avoid {
		if now.After(until) {
			delete(p.avoid, h)
		}
	}
	p.avoid[host] = now.Add(avoidHostPeriod)
	return forward.PeerReply{Unable: true, Failure: failure}
}

// Send has a host carry out one attempt of a call.
func (p *passing) Send(ctx context.Context, host string, c *exchange.Call, o forward.Order) forward.PeerReply {
	peer, known := p.host.members.Peer(host)
	if !known {
		return p.unable(host, result.New(result.NoBackend, "host %s is not heard of", host))
	}
	head, err := p.encodeCall(c, o)
	if err != nil {
		return p.unable(host, result.New(result.Internal, "%v", err))
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Address+"/calls", io.MultiReader(bytes.NewReader(head), bytes.NewReader(c.Body)))
	if err != nil {
		return p.unable(host, result.New(result.Internal, "%v", err))
	}
	r.ContentLength = int64(len(head) + len(c.Body))
	resp, err := p.http.RoundTrip(r)
	if err != nil {
		return p.linkFailure(ctx, host, err)
	}
	reply := p.decodeReply(host, resp)
	if reply.Reply == nil {
		_ = resp.Body.Close()
	} else {
		p.count.Add(1)
	}
	return reply
}

// linkFailure returns the reply for a call whose connection to a host failed. If the
// caller left, that says nothing about the host.
func (p *passing) linkFailure(ctx context.Context, host string, err error) forward.PeerReply {
	reply := forward.PeerReply{Failure: result.New(result.BackendFailed, "host %s: %v", host, err).WithRan(result.RanMaybe)}
	var dialErr *dial.Error
	if errors.As(err, &dialErr) {
		reply = forward.PeerReply{Unable: true, Failure: result.New(result.NoBackend, "host %s: %v", host, err)}
	}
	if ctx.Err() == nil {
		p.unable(host, reply.Failure)
	}
	return reply
}

// encodeCall returns the length of the call's head in four bytes and the head, which the
// body follows.
func (p *passing) encodeCall(c *exchange.Call, o forward.Order) ([]byte, error) {
	head := passedCall{
		From: p.host.settings.Name, ConfigVersion: p.host.config.Version(), ID: []byte(c.ID), Method: c.Method, Target: []byte(c.Target),
		Host: []byte(c.Host), Fields: encodeFields(c.Fields), Service: c.Service, Software: o.Software, Avoid: o.Avoid, MaxWait: o.MaxWait,
		Begun: o.Begun, LastPart: []byte(c.LastPart), Organisation: []byte(c.Organisation),
	}
	for _, part := range c.SharedParts {
		head.SharedParts = append(head.SharedParts, []byte(part))
	}
	if o.Resume.Set {
		head.ResumeAfter = &o.Resume.After
	}
	if !c.Deadline.IsZero() {
		remaining := c.Deadline.Sub(p.host.timer.Now())
		head.Remaining = &remaining
	}
	text, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...), nil
}

// decodeReply decodes the answer of a host. One that isn't from this handler, as
// of an earlier release, says that nothing was sent.
func (p *passing) decodeReply(host string, resp *http.Response) forward.PeerReply {
	var head passedReply
	if err := json.Unmarshal([]byte(resp.Header.Get(passedReplyField)), &head); err != nil {
		return p.unable(host, result.New(result.NoBackend, "host %s answered %d", host, resp.StatusCode))
	}
	server := backend.Server{ID: head.Server, SoftwareVersion: head.Software}
	if head.Status != 0 && (head.Status < minPassedStatus || head.Status > maxPassedStatus) {
		// Hosts of earlier builds pass on any status.
		return forward.PeerReply{Server: server, Failure: result.New(result.BackendFailed, "server %s answered %d", head.Server, head.Status).WithRan(result.RanMaybe)}
	}
	if head.Status == 0 {
		failure := p.decodeFailure(host, resp)
		if head.Unable {
			return p.unable(host, failure)
		}
		return forward.PeerReply{Server: server, Failure: failure}
	}
	return forward.PeerReply{Server: server, Reply: &exchange.Reply{
		Status: head.Status, Fields: decodeFields(head.Fields), NotRun: head.NotRun, Misdirected: head.Misdirected, Unmet: head.Unmet,
		Unframed: head.Unframed, EventStream: head.EventStream, Body: resp.Body,
	}}
}

func (p *passing) decodeFailure(host string, resp *http.Response) *result.Error {
	var failure failureBody
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerResponseBytes))
	if err == nil {
		err = json.Unmarshal(text, &failure)
	}
	if err != nil {
		return result.New(result.BackendFailed, "host %s: its failure can't be read: %v", host, err).WithRan(result.RanMaybe)
	}
	return failure.toError()
}

// handle carries out an attempt for another host.
func (p *passing) handle(w http.ResponseWriter, r *http.Request) {
	h := p.host
	// A connection that is closed with unread bytes is reset, which loses the refusal.
	defer func() { _, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxPassedBodyBytes)) }()
	if h.stopping.Load() {
		p.refuse(w, passedReply{Unable: true}, result.New(result.Stopping, "host %s is stopping", h.settings.Name))
		return
	}
	if h.reach.CutOff() {
		p.refuse(w, passedReply{Unable: true}, result.New(result.NoBackend, "host %s reaches no server either", h.settings.Name))
		return
	}
	control := http.NewResponseController(w)
	// A failure to set the deadline leaves the read to the end of the connection.
	held := h.memory.Hold(buffer.Body, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer held.Close()
	head, c, failure := p.decodeCall(r, held)
	if failure != nil {
		p.refuse(w, passedReply{Unable: true}, failure)
		return
	}
	order := forward.Order{Software: head.Software, Avoid: head.Avoid, MaxWait: head.MaxWait}
	if head.ResumeAfter != nil {
		order.Resume = exchange.Resume{After: *head.ResumeAfter, Set: true}
	}
	ctx := r.Context()
	if !c.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Deadline.Sub(h.timer.Now()))
		defer cancel()
	}
	s, begun, failure := h.forwarder.Carry(ctx, head.From, c, order, &peerWriter{w: w, control: control})
	switch {
	case failure == nil:
	case begun:
		// The other host must not take what it has for the whole body.
		panic(http.ErrAbortHandler)
	default:
		p.refuse(w, passedReply{Server: s.ID, Software: s.SoftwareVersion}, failure)
	}
}

// refuse answers a call with a failure instead of a server's reply.
func (p *passing) refuse(w http.ResponseWriter, head passedReply, failure *result.Error) {
	if text, err := json.Marshal(head); err == nil {
		w.Header().Set(passedReplyField, string(text))
	}
	writeFailure(w, failure)
}

// decodeCall decodes a call and finds its route. This host may know a newer
// configuration than the other, never an older one. The rest of a stream whose caller
// has a part of it needs no route: it goes on as it began.
func (p *passing) decodeCall(r *http.Request, held *buffer.Hold) (passedCall, *exchange.Call, *result.Error) {
	head, body, err := readCall(r.Body, r.ContentLength, held)
	switch {
	case errors.Is(err, buffer.ErrFull), errors.Is(err, buffer.ErrEnded):
		return head, nil, result.New(result.Overloaded, "%v", err)
	case err != nil:
		return head, nil, result.New(result.TruncatedUpload, "%v", err)
	}
	c := &exchange.Call{
		ID: string(head.ID), Method: head.Method, Target: string(head.Target), Host: string(head.Host), Fields: decodeFields(head.Fields),
		Body: body, LastPart: string(head.LastPart), Service: head.Service, Received: p.host.timer.Now(),
		Organisation: string(head.Organisation),
	}
	if p.host.adapter.Expectation != nil {
		c.Expectation = p.host.adapter.Expectation(c.Fields)
	}
	for _, part := range head.SharedParts {
		c.SharedParts = append(c.SharedParts, string(part))
	}
	if head.Remaining != nil {
		c.Deadline = c.Received.Add(*head.Remaining)
	}
	if head.Begun && head.ResumeAfter != nil {
		c.Route = &routes.Route{Kind: routes.Stream, Resumable: true, Shares: []routes.Share{{Service: c.Service, Weight: 1}}}
		return head, c, nil
	}
	config := p.host.config.Current()
	if config == nil || config.Version() < head.ConfigVersion {
		return head, nil, result.New(result.NoBackend, "the configuration is older than version %d", head.ConfigVersion)
	}
	route, found := matchRoute(config, c)
	if !found || route.Kind == routes.Batch || !route.Allows(c.Service) {
		return head, nil, result.New(result.UnknownEndpoint, "configuration %d has no route to service %s for %.64q", config.Version(), c.Service, c.Target)
	}
	c.Route = route
	return head, c, nil
}

// readCall reads a call of length bytes, below 0 if unknown, as Send sends it. It is held
// until the call ends.
func readCall(from io.Reader, length int64, held *buffer.Hold) (passedCall, []byte, error) {
	var head passedCall
	var size uint32
	if err := binary.Read(from, binary.BigEndian, &size); err != nil {
		return head, nil, err
	}
	if size > maxPassedHeadBytes {
		return head, nil, fmt.Errorf("head of %d bytes", size)
	}
	text, err := held.ReadAll(io.LimitReader(from, int64(size)), int64(size), maxPassedHeadBytes)
	if err != nil {
		return head, nil, err
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return head, nil, err
	}
	if length >= 0 {
		length = max(0, length-int64(binary.Size(size))-int64(size))
	}
	body, err := held.ReadAll(from, length, maxPassedBodyBytes)
	if err == nil {
		err = held.Arrived()
	}
	return head, body, err
}

// matchRoute returns the route of a call by its target and host name.
func matchRoute(config *routes.Config, c *exchange.Call) (*routes.Route, bool) {
	target, err := url.ParseRequestURI(c.Target)
	if err != nil {
		return nil, false
	}
	name := c.Host
	if host, _, err := net.SplitHostPort(c.Host); err == nil {
		name = host
	}
	return config.Match(name, target.EscapedPath())
}

// peerWriter writes a server's reply to the host that passed the call on.
type peerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

var _ forward.ReplyWriter = (*peerWriter)(nil)

// WriteReply writes the head of a server's reply.
func (o *peerWriter) WriteReply(s backend.Server, r *exchange.Reply) error {
	text, err := json.Marshal(passedReply{
		Server: s.ID, Software: s.SoftwareVersion, Status: r.Status, Fields: encodeFields(r.Fields), NotRun: r.NotRun,
		Misdirected: r.Misdirected, Unmet: r.Unmet, Unframed: r.Unframed, EventStream: r.EventStream,
	})
	if err != nil {
		return err
	}
	o.w.Header().Set(passedReplyField, string(text))
	o.w.Header().Set("Content-Type", "application/octet-stream")
	o.w.WriteHeader(http.StatusOK)
	return o.control.Flush()
}

// Write writes a piece of the body and sends it at once.
func (o *peerWriter) Write(p []byte) error {
	if err := o.control.SetWriteDeadline(time.Now().Add(passWriteTimeout)); err != nil {
		return err
	}
	if _, err := o.w.Write(p); err != nil {
		return err
	}
	if err := o.control.Flush(); err != nil {
		return err
	}
	// The end of the reply may come much later.
	return o.control.SetWriteDeadline(time.Time{})
}
