package logrec

import (
	"context"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Writer appends records to the log under this host's identity.
type Writer interface {
	// Append appends the records and returns the offset of their entry once
	// they were read back from the log and applied to this host's tables. It
	// sets Version, Host, Incarnation and, unless it is given, ID. After an
	// error that wraps platform.ErrUnavailable the records may still appear in
	// the log later; after platform.ErrRateLimited they will not.
	Append(ctx context.Context, records ...Record) (model.Offset, error)
}

// New returns a record of a kind. The body must be encodable as JSON.
func New(kind Kind, body any) (Record, error) {
	data, err := marshalBody(kind, body)
	return Record{Version: SchemaVersion, Kind: kind, Body: data}, err
}
