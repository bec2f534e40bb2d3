package operator

import (
	"context"

	"github.com/go-kit/kit/endpoint"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/journal"
)

// maxAuditedScriptBytes limits how much of a script goes into a log line or journal
// entry.
const maxAuditedScriptBytes = 4096

// audit is middleware that records every script with its operator and result in
// the log and the journal. Scripts contain no secrets: keys are given as digests.
func (s *service) audit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		script := request.(RunRequest).Script
		s.record(operatorFromContext(ctx), script, err)
		return response, err
	}
}

func (s *service) record(operator, script string, err error) {
	script = script[:min(len(script), maxAuditedScriptBytes)]
	entry := journal.Entry{Kind: journal.KindConfig, Subject: operator, Decision: "ran", Reason: script}
	fields := []zap.Field{zap.String("operator", operator), zap.String("script", script)}
	if err != nil {
		failure := toError(err)
		entry.Decision = "failed: " + string(failure.Code)
		fields = append(fields, zap.String("code", string(failure.Code)), zap.Error(err))
	}
	s.Journal.Add(entry)
	s.Logger.Info("operator script", fields...)
}
