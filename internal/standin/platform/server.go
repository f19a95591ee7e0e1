package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/record/store"
)

// maxBody bounds a call's body; base64 makes a value a third larger.
const maxBody = 8 * store.MaxValueBytes

// HostEntry is one line of the platform's host list.
type HostEntry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Leaving says that the platform is about to take the host away.
	Leaving bool `json:"leaving"`
}

// Server offers a KV and a host list over HTTP.
type Server struct {
	kv       *KV
	http     *http.Server
	listener net.Listener

	mu    sync.Mutex
	hosts []HostEntry
	delay time.Duration
}

// Serve listens on address and serves kv until Close.
func Serve(address string, kv *KV) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{kv: kv, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.handleRange)
	mux.HandleFunc("POST /v3/kv/txn", s.handleTxn)
	mux.HandleFunc("POST /v3/lease/grant", s.handleGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", s.handleKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", s.handleRevoke)
	mux.HandleFunc("POST /v3/watch", s.handleWatch)
	mux.HandleFunc("GET /hosts", s.handleHosts)
	mux.HandleFunc("PUT /hosts", s.handleSetHosts)
	s.http = &http.Server{Handler: s.delayed(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Endpoint returns the base address, as in http://127.0.0.1:2379.
func (s *Server) Endpoint() string { return "http://" + s.listener.Addr().String() }

// Close ends the server and cuts its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]HostEntry(nil), hosts...)
}

// SetDelay makes every later call wait before it is served.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *Server) delayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		d := s.delay
		s.mu.Unlock()
		time.Sleep(d)
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

// decode reads the call's body; it answers 400 itself if that fails.
func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var in T
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return in, false
	}
	return in, true
}

func answer(w http.ResponseWriter, out any, err error) {
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

func message(e store.Entry) store.KeyValue {
	return store.KeyValue{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: e.CreateRevision,
		ModRevision: e.ModRevision, Lease: int64(e.Lease),
	}
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[store.RangeRequest](w, r)
	if !ok {
		return
	}
	to := string(in.RangeEnd)
	if to == "" {
		to = string(in.Key) + "\x00"
	}
	entries, revision, err := s.kv.Range(r.Context(), string(in.Key), to, int(in.Limit))
	out := store.RangeResponse{Header: store.Header{Revision: revision}}
	for _, e := range entries {
		out.KVs = append(out.KVs, message(e))
	}
	answer(w, out, err)
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[store.TxnRequest](w, r)
	if !ok {
		return
	}
	outcome, err := s.kv.Commit(r.Context(), txnOf(in))
	out := store.TxnResponse{Header: store.Header{Revision: outcome.Revision}, Succeeded: outcome.Succeeded}
	answer(w, out, err)
}

func txnOf(in store.TxnRequest) store.Txn {
	var txn store.Txn
	for _, compare := range in.Compare {
		one := store.Compare{Key: string(compare.Key), Target: store.CreateRevision, Revision: compare.CreateRevision}
		if compare.Target == store.TargetMod {
			one.Target, one.Revision = store.ModRevision, compare.ModRevision
		}
		txn.Compares = append(txn.Compares, one)
	}
	for _, op := range in.Success {
		if op.Put != nil {
			txn.Puts = append(txn.Puts, store.Put{
				Key: string(op.Put.Key), Value: op.Put.Value, Lease: store.LeaseID(op.Put.Lease),
			})
		}
		if op.Delete != nil {
			txn.Deletes = append(txn.Deletes, string(op.Delete.Key))
		}
	}
	return txn
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[store.LeaseMessage](w, r)
	if !ok {
		return
	}
	id, err := s.kv.Grant(r.Context(), time.Duration(in.TTL)*time.Second)
	answer(w, store.LeaseMessage{ID: int64(id), TTL: in.TTL}, err)
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[store.LeaseMessage](w, r)
	if !ok {
		return
	}
	ttl, err := s.kv.KeepAlive(r.Context(), store.LeaseID(in.ID))
	if errors.Is(err, store.ErrLeaseNotFound) {
		err, ttl = nil, 0
	}
	answer(w, store.KeepAliveResponse{Result: store.LeaseMessage{ID: in.ID, TTL: int64(ttl.Seconds())}}, err)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[store.LeaseMessage](w, r)
	if !ok {
		return
	}
	answer(w, struct{}{}, s.kv.Revoke(r.Context(), store.LeaseID(in.ID)))
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[store.WatchRequest](w, r)
	if !ok {
		return
	}
	flusher, _ := w.(http.Flusher)
	encoder := json.NewEncoder(w)
	send := func(result store.WatchResult) {
		_ = encoder.Encode(store.WatchResponse{Result: result})
		flusher.Flush()
	}
	send(store.WatchResult{Created: true})
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	err := s.kv.Watch(ctx, string(in.Create.Key), in.Create.StartRevision, func(e store.Event) {
		event := store.WatchEvent{KV: message(e.Entry)}
		if e.Deleted {
			event.Type = store.EventDelete
		}
		send(store.WatchResult{Header: store.Header{Revision: e.ModRevision}, Events: []store.WatchEvent{event}})
	})
	if errors.Is(err, store.ErrCompacted) {
		send(store.WatchResult{Canceled: true, CompactRevision: 1})
	}
}

func (s *Server) handleHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, s.hosts, nil)
}

func (s *Server) handleSetHosts(w http.ResponseWriter, r *http.Request) {
	hosts, ok := decode[[]HostEntry](w, r)
	if !ok {
		return
	}
	s.SetHosts(hosts)
	answer(w, hosts, nil)
}
