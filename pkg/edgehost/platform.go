package edgehost

import (
	"context"
	"errors"
	"time"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/duty"
	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Topics of the platform's store.
const (
	// TopicConfiguration holds the operator's configuration.
	TopicConfiguration = "configuration"
	// TopicBackends holds the registrations of backend servers.
	TopicBackends = "backends"
	// TopicHosts holds the addresses of this system's hosts.
	TopicHosts = "hosts"
	// TopicDuties is the log of the duties.
	TopicDuties = "duties"
)

// ErrConflict means that the platform refused a call because of its current state, or
// because another host has acted with a higher fencing token.
var ErrConflict = errors.New("the platform refused the call")

// Registration is a backend server's entry in the store.
type Registration struct {
	placement.Backend
	// Born is the server's start time, which tells its incarnations apart. Unit: Unix
	// milliseconds.
	Born int64
	// LeavesIn is the time until a reclaimed server is terminated, 0 if unknown.
	LeavesIn time.Duration
	// ColdFor is how much longer the server stays cold, 0 if it is warm.
	ColdFor time.Duration
}

// ScaleOrder sets the number of a service's backend servers in a data centre.
type ScaleOrder struct {
	Service    model.PoolName
	DataCentre model.DataCentreID
	Desired    int
	// Spot orders spot servers, which are cheaper and may be reclaimed.
	Spot bool
}

// StageOrder tells an engine to change its stage.
type StageOrder struct {
	Backend model.BackendID
	Address string
	Stage   placement.Stage
	// ExpectedOrders is the number of orders that the engine is known to have accepted.
	// The engine rejects the order if it has accepted another one meanwhile.
	ExpectedOrders uint64
}

// Platform is the interface of a host to the platform.
type Platform interface {
	mirror.Store
	// Put writes the newest record of a key; an empty value removes it.
	Put(ctx context.Context, topic, key string, value []byte) error
	// DutyLog returns the log of the duties.
	DutyLog() duty.Log
	// DecodeConfiguration decodes the operator's configuration.
	DecodeConfiguration(raw []byte) (catalog.Config, error)
	// EvacuatedDataCentre returns the data centre that the operator evacuates with a key of
	// TopicConfiguration, and false for other keys.
	EvacuatedDataCentre(key string) (dc model.DataCentreID, ok bool)
	// Backend decodes the registration of a backend server.
	Backend(id string, raw []byte) (Registration, error)
	// ReportUsage reports a usage window. It fails with ErrConflict if another
	// host has acted with a higher fencing token. Like the other calls with a term, it
	// sends nothing after the term has ended, and then fails with duty.ErrNotHolder.
	ReportUsage(ctx context.Context, term duty.Term, window int64, counts map[model.OrganisationID]int64) error
	// AcceptedOrders asks an engine how many orders it has accepted.
	AcceptedOrders(ctx context.Context, backend model.BackendID, address string) (uint64, error)
	// ChangeStage orders an engine to change its stage.
	ChangeStage(ctx context.Context, term duty.Term, o StageOrder) error
	// Scale orders backend servers. It fails with ErrConflict if none are available or
	// another host has acted with a higher fencing token.
	Scale(ctx context.Context, term duty.Term, o ScaleOrder) error
}
