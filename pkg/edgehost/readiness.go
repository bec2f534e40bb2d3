package edgehost

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// readinessIdle is the idle timeout of the load balancer's connections.
const readinessIdle = 30 * time.Second

// serveReadiness serves the load balancer's readiness checks. It reads the requests
// itself, since net/http's server rejects HTTP/1.1 requests without a Host header.
func (h *Host) serveReadiness(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			h.log.Debug("the readiness listener was closed", zap.Error(err))
			return
		}
		go h.serveReadinessConn(conn)
	}
}

func (h *Host) serveReadinessConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if err := conn.SetDeadline(time.Now().Add(readinessIdle)); err != nil {
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			h.log.Debug("a readiness request could not be read", zap.Error(err))
			return
		}
		ready := h.ready()
		if h.lastReportedReady.Swap(ready) != ready {
			h.log.Info("readiness changed", zap.Bool("ready", ready), zap.String("asked", req.URL.Path))
		}
		resp := http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Close: req.Close}
		if !ready {
			resp.StatusCode = http.StatusServiceUnavailable
		}
		if err := resp.Write(conn); err != nil || req.Close {
			return
		}
	}
}
