package load

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// maxSendTime is the time from the opening of the connection to the end of writing the
// call after which a host may have closed the connection because the caller was too
// slow. It is below the shortest limit of a host, 5 s for the header.
const maxSendTime = 2 * time.Second

// sendTrace records whether the client wrote a call in time. The transport calls its
// methods from goroutines of its own.
type sendTrace struct {
	mu        sync.Mutex
	connected time.Time
	written   time.Time
}

func (s *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectDone:  func(string, string, error) { s.stamp(&s.connected) },
		WroteRequest: func(w httptrace.WroteRequestInfo) { s.requestWritten(w.Err) },
	})
}

func (s *sendTrace) stamp(t *time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*t = time.Now()
}

func (s *sendTrace) requestWritten(err error) {
	if err == nil {
		s.stamp(&s.written)
	}
}

// sentLate reports whether the call was not written within maxSendTime or at all.
func (s *sendTrace) sentLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.IsZero() || s.written.Sub(s.connected) > maxSendTime
}
