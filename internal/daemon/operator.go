package daemon

import (
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/operator/api"
	"github.com/fulmartide/fulmartide/internal/operator/command"
	"github.com/fulmartide/fulmartide/internal/operator/query"
	"github.com/fulmartide/fulmartide/internal/relay"
)

func (d *daemon) operatorServer() *callerconn.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", d.ready)
	mux.HandleFunc("GET /metrics", d.writeMetrics)
	mux.Handle("GET /debug/pprof/", profiles())
	mux.Handle("/operator/command/", command.NewHandler(command.Deps{Configuration: d.config, Keys: d.keys, Log: d.log.Named("operator")}))
	mux.Handle("/operator/query/", d.queries)
	log := d.log.Named("operator")
	return callerconn.New(&http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: operatorHeaderBytes, ErrorLog: zap.NewStdLog(log),
	}, callerconn.Options{
		HeadLimit: func() int64 { return operatorHeaderBytes }, MayCut: func(r *http.Request) bool { return r.Method == http.MethodGet }, MaxIdleTime: maxIdleTime, Budget: d.connections, Name: "operator", Log: log, Metrics: d.relay.Metrics(),
	})
}

// profiles serves one profile at a time: each may take as much memory as all stacks or the heap's records.
func profiles() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return api.Limited(mux, 1)
}

func (d *daemon) queryHandler() http.Handler {
	return query.NewHandler(query.Deps{
		Self: d.self, Directory: d.membership, Configuration: d.config, Keys: d.keys, Limiter: d.limiter,
		Placement: d.placer, Traces: traces{d.relay}, Transport: d.transport,
	})
}

// traces implements query.Traces with the relay's traces.
type traces struct{ relay *relay.Server }

// Trace returns the trace of a request that this VM served.
func (e traces) Trace(id string) ([]query.Event, bool) {
	events, ok := e.relay.Explain(id)
	out := make([]query.Event, 0, len(events))
	for _, v := range events {
		out = append(out, query.Event(v))
	}
	return out, ok
}

// ready is the readiness check for load balancers.
func (d *daemon) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.relay.IsStopping():
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
	case d.config.Current() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case !d.keys.Ready():
		http.Error(w, "no keys yet", http.StatusServiceUnavailable)
	case !d.limiter.Ready():
		http.Error(w, "no shard holders known yet", http.StatusServiceUnavailable)
	case !d.warmUpDone.Load():
		http.Error(w, "opening connections", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (d *daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	d.relay.Metrics().WritePrometheus(w)
	d.counter.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

// digest returns the digest of this VM's configuration and keys for heartbeats.
func (d *daemon) digest() membership.Digest {
	var out membership.Digest
	d.config.FillDigest(&out)
	d.keys.FillDigest(&out)
	return out
}

// onDigest passes the digest of another VM's heartbeat to the services, which fetch newer versions.
func (d *daemon) onDigest(from membership.Member, digest membership.Digest) {
	d.config.OnDigest(from, digest)
	d.keys.OnDigest(from, digest)
}
