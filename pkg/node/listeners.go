package node

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/tlsconf"
)

// Timeouts of the operator listener, which is not exposed to callers.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorReadTimeout   = 30 * time.Second
)

// loadCertificates reads the certificates of all listeners that have TLS
// configured.
func (n *node) loadCertificates() error {
	files := n.settings.TLS
	for _, c := range []struct {
		files  *settings.Certificate
		source **tlsconf.Source
	}{
		{files.Callers, &n.callerTLS},
		{files.Operators, &n.operatorTLS},
		{files.Peers, &n.peerTLS},
	} {
		source, err := tlsconf.New(c.files, n.log)
		if err != nil {
			return err
		}
		*c.source = source
	}
	return nil
}

// wrapListener adds a connection limit, unless it is 0, and TLS, unless source is
// nil. HTTP/2 is not offered, since its streams would share the write deadline of
// one connection.
func wrapListener(listener net.Listener, source *tlsconf.Source, limit int) net.Listener {
	if limit > 0 {
		listener = limitConnections(listener, limit)
	}
	if source == nil {
		return listener
	}
	return tls.NewListener(listener, source.Server("http/1.1"))
}

func (n *node) operatorServer() *http.Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(n.metrics, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &http.Server{
		Handler: operator.NewHandler(operator.Dependencies{
			Host: n.settings.Host.ID, Views: n, Config: configurer{n}, Backends: n.table, History: n.history,
			Health: n, Dumper: n, Journal: n.journal, Metrics: n.metrics.Var(), PrometheusHandler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
			Operators: n.settings.Operators, Logger: n.log,
		}),
		ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout:       operatorReadTimeout,
	}
}
