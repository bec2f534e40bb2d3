package main

import (
	"context"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/node"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/standin"
)

// runHost runs one entry host until ctx ends and its graceful shutdown is done.
type runHost func(ctx context.Context, s *settings.Settings, logger *zap.Logger) error

// startSimulation starts a simulated platform, engines and services in this
// process, on loopback addresses. They stop when ctx ends.
type startSimulation func(ctx context.Context, c simulationConfig) (simulation, error)

// simulationConfig describes the components of a simulation.
type simulationConfig struct {
	Region     model.RegionID
	DataCentre model.DataCentreID
	// Model and Service are the names of the pools, Engines and Services their
	// sizes.
	Model    model.PoolName
	Service  model.PoolName
	Engines  int
	Services int
}

// simulation is a running simulation.
type simulation interface {
	// PlatformAddress is the base URL of the platform's interfaces.
	PlatformAddress() string
	// Wait waits until the context has ended and all components have stopped.
	Wait()
}

// components holds the functions that the commands start; tests replace them.
type components struct {
	run      runHost
	simulate startSimulation
}

// defaultComponents returns the components that the program runs with.
func defaultComponents() components {
	return components{run: node.Run, simulate: simulate}
}

// embeddedSimulation implements simulation with a deployment in this process.
type embeddedSimulation struct {
	deployment *standin.Deployment
	ended      <-chan struct{}
}

func simulate(ctx context.Context, c simulationConfig) (simulation, error) {
	deployment, err := standin.Start(ctx, standin.Config{
		Region:      c.Region,
		DataCentres: []model.DataCentreID{c.DataCentre},
		Pools: []standin.PoolConfig{
			{Name: c.Model, Kind: model.PoolEngine, Ordinary: c.Engines},
			{Name: c.Service, Kind: model.PoolService, Ordinary: c.Services},
		},
	})
	if err != nil {
		return nil, err
	}
	return &embeddedSimulation{deployment: deployment, ended: ctx.Done()}, nil
}

// PlatformAddress implements simulation.
func (e *embeddedSimulation) PlatformAddress() string { return e.deployment.Addresses().Platform }

// Wait implements simulation.
func (e *embeddedSimulation) Wait() {
	<-e.ended
	_ = e.deployment.Close()
}
