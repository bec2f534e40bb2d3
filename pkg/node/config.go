package node

import (
	"github.com/redwingpath/redwingpath/pkg/admission"
	"github.com/redwingpath/redwingpath/pkg/entry"
	"github.com/redwingpath/redwingpath/pkg/fleetview"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/settings"
)

// The functions below derive each package's settings from the host's settings
// file.

func admissionSettings(s *settings.Settings) admission.Settings {
	return admission.Settings{
		FirstTokenLimit: s.Scheduling.FirstTokenTarget,
		OutputCost:      s.Scheduling.Work.OutputWeight,
	}
}

func routingSettings(s *settings.Settings) routing.Settings {
	return routing.Settings{
		DataCentre:           s.Host.DataCentre,
		Seed:                 randomSeed(),
		FirstTokenLimit:      s.Scheduling.FirstTokenTarget,
		TokenGapLimit:        s.Scheduling.TokenGapTarget,
		CrossDataCentreDelay: s.Scheduling.DefaultDistance,
	}
}

func plannerSettings(s *settings.Settings) planner.Settings {
	return planner.Settings{
		TokenGapLimit:   s.Scheduling.TokenGapTarget,
		FirstTokenLimit: s.Scheduling.FirstTokenTarget,
		RoleHorizon:     s.Scheduling.PlanHorizon,
		MaxRoleChanges:  s.Scheduling.RoleChangesPerHorizon,
		OrderLead:       s.Scheduling.OrderLeadTime,
		ReleaseHold:     s.Scheduling.ReleaseHold,
	}
}

func fleetViewSettings(s *settings.Settings) fleetview.Settings {
	return fleetview.Settings{
		Host:      s.Host.ID,
		Region:    s.Host.Region,
		FleetPoll: s.Scheduling.FleetPoll,
		LoadPoll:  s.Scheduling.LoadPoll,
		CachePoll: s.Scheduling.CachePoll,
	}
}

func entrySettings(s *settings.Settings) entry.Settings {
	e := entry.DefaultSettings()
	e.MaxHeaderBytes = s.Limits.HeaderBytes
	e.HeaderTimeout = s.Limits.HeaderTime
	e.MaxBodyBytes = s.Limits.BodyBytes
	e.BodyTimeout = s.Limits.BodyTime
	e.IdleTimeout = s.Limits.IdleTime
	e.WriteTimeout = s.Limits.WriteStall
	e.ModelTimeout = s.Limits.RequestTime
	e.ServiceTimeout = s.Limits.ServiceTime
	e.MaxTokensLimit = s.Limits.MaxTokens
	e.MaxStreams = s.Limits.Streams
	e.MaxRequests = s.Limits.RequestsInProgress
	e.MinTokenGapLimit = s.Scheduling.StreamGapMinimum
	e.TokenGapLimitFactor = s.Scheduling.StreamGapFactor
	e.ExpectedTokenGap = s.Scheduling.TokenGapTarget
	e.UnitsPerPromptToken = s.Scheduling.Work.PerPromptToken
	e.UnitsPerOutputToken = s.Scheduling.Work.PerOutputToken
	e.LogRetention = s.Timings.LogRetention
	return e
}
