package daemon

import (
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/operator/command"
	"github.com/fulmartide/fulmartide/internal/operator/query"
	"github.com/fulmartide/fulmartide/internal/relay"
)

func (d *daemon) operatorServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", d.ready)
	mux.HandleFunc("GET /metrics", d.writeMetrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("/operator/command/", command.NewHandler(command.Deps{Configuration: d.config, Keys: d.keys, Log: d.log.Named("operator")}))
	mux.Handle("/operator/query/", d.queries)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

func (d *daemon) queryHandler() http.Handler {
	return query.NewHandler(query.Deps{
		Self: d.self, Directory: d.membership, Configuration: d.config, Keys: d.keys, Limiter: d.limiter,
		Placement: d.placer, Explainer: explainer{d.relay}, Transport: d.transport,
	})
}

// explainer gives the relay's trace events to queries.
type explainer struct{ relay *relay.Server }

// Explain gives the steps of a request that this VM served.
func (e explainer) Explain(id string) ([]query.Event, bool) {
	events, ok := e.relay.Explain(id)
	out := make([]query.Event, 0, len(events))
	for _, v := range events {
		out = append(out, query.Event(v))
	}
	return out, ok
}

// ready tells the balancer whether to send calls here.
func (d *daemon) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.relay.IsStopping():
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
	case d.config.Current() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case !d.keys.Ready():
		http.Error(w, "no keys yet", http.StatusServiceUnavailable)
	case !d.limiter.Ready():
		http.Error(w, "no share holders known yet", http.StatusServiceUnavailable)
	case !d.warmed.Load():
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

// digest summarises what this VM knows, for heartbeats.
func (d *daemon) digest() membership.Digest {
	var out membership.Digest
	d.config.Fill(&out)
	d.keys.Fill(&out)
	return out
}

// onDigest repairs what another VM's heartbeat shows to differ.
func (d *daemon) onDigest(from membership.Member, digest membership.Digest) {
	d.config.OnDigest(from, digest)
	d.keys.OnDigest(from, digest)
}
