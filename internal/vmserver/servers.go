package vmserver

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/connbudget"
)

const (
	// connectionMemoryFraction is the part of the memory limit that connections and the heads of requests may take, as its inverse.
	connectionMemoryFraction = 5
	// headRoom is how much larger than the configured limit a head may be until it is read no further. Such a head is answered with the
	// limit in force; a read beyond its end may take a part of the body.
	headRoom = 8 << 10
	// unknownHeadLimit is the limit before a configuration is known.
	unknownHeadLimit = 64 << 10
	// checkHeaderBytes bounds the size of headers of readiness checks and scrapes.
	checkHeaderBytes = 8 << 10
)

func (p *Process) newConnectionBudget() *connbudget.Budget {
	return connbudget.New(connbudget.Options{
		Bytes: p.settings.MemoryBytes / connectionMemoryFraction, Connections: connbudget.Connections(p.settings.Descriptors),
		Log: p.log.Named("connections"), Metrics: p.set,
	})
}

// buildServers creates the servers for callers, readiness checks and scrapes.
func (p *Process) buildServers() (ready, metrics *callerconn.Server) {
	p.callers = callerconn.New(&http.Server{
		Handler: p.Handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(p.log.Named("http")),
	}, callerconn.Options{
		IdleTimeout: p.idleTimeout, MaxIdleTime: maxIdleTime, RequestID: p.platform.RequestID, HeadLimit: p.headLimit,
		Budget: p.connections, Name: "callers", Log: p.log.Named("callers"), Metrics: p.set,
	})
	return p.checkServer("ready", p.readyHandler()), p.checkServer("metrics", p.metricsHandler())
}

// checkServer creates a server for small requests. Their clients may read an answer slowly without end and repeat the request, so that their
// connections may be closed while it is written.
func (p *Process) checkServer(name string, h http.Handler) *callerconn.Server {
	return callerconn.New(&http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, MaxHeaderBytes: checkHeaderBytes, ErrorLog: zap.NewStdLog(p.log.Named("http")),
	}, callerconn.Options{HeadLimit: func() int64 { return checkHeaderBytes }, MayCut: func(*http.Request) bool { return true }, MaxIdleTime: maxIdleTime, Budget: p.connections, Name: name, Log: p.log.Named(name), Metrics: p.set})
}

// headLimit returns the size of the largest head that is read.
func (p *Process) headLimit() int64 {
	cfg := p.State.Configuration()
	if cfg == nil || cfg.Limits.HeaderBytes <= 0 {
		return unknownHeadLimit
	}
	return int64(cfg.Limits.HeaderBytes) + headRoom
}
