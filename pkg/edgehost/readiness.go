package edgehost

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// readinessIdle closes a connection of the load balancer that asks no more.
const readinessIdle = 30 * time.Second

// serveReadiness answers the load balancer's question whether the host is ready.
// It reads requests itself, since net/http's server refuses those without a Host
// header.
func (h *Host) serveReadiness(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			h.log.Debug("the listener for readiness has ended", zap.Error(err))
			return
		}
		go h.answerReadiness(conn)
	}
}

func (h *Host) answerReadiness(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if err := conn.SetDeadline(time.Now().Add(readinessIdle)); err != nil {
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			h.log.Debug("a readiness request was not read", zap.Error(err))
			return
		}
		ready := h.ready()
		if h.saidReady.Swap(ready) != ready {
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
