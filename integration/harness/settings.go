package harness

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// hostSettings is the part of a host's settings file that the harness sets. It has
// types of its own because the file holds durations as strings, which pkg/settings
// parses but does not write.
type hostSettings struct {
	Host     hostIdentity      `json:"host"`
	Listen   hostListen        `json:"listen"`
	Platform hostPlatform      `json:"platform"`
	Timings  map[string]string `json:"timings,omitempty"`
	// Scheduling shortens the planner's intervals, so that it makes decisions within
	// a test.
	Scheduling map[string]string `json:"scheduling,omitempty"`
	Logging    hostLogging       `json:"logging"`
	Operators  []hostOperator    `json:"operators"`
}

type hostIdentity struct {
	ID         model.HostID       `json:"id"`
	Region     model.RegionID     `json:"region"`
	DataCentre model.DataCentreID `json:"data_centre"`
}

type hostListen struct {
	Callers        string `json:"callers"`
	Operators      string `json:"operators"`
	Peers          string `json:"peers"`
	PeerAdvertised string `json:"peer_advertised"`
}

type hostPlatform struct {
	// Address is the default for interfaces without their own address. It is that of
	// the log's proxy, so that a cut of the log link always has an effect.
	Address string `json:"address"`
	Log     string `json:"log"`
	Fleet   string `json:"fleet"`
	Usage   string `json:"usage"`
	Weights string `json:"weights"`
}

func newHostPlatform(log, others string) hostPlatform {
	return hostPlatform{Address: log, Log: log, Fleet: others, Usage: others, Weights: others}
}

type hostLogging struct {
	Level string `json:"level"`
}

type hostOperator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

func (s *hostSettings) write(dir string) (string, error) {
	data, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		return "", eris.Wrap(err, "encode host settings")
	}
	path := filepath.Join(dir, string(s.Host.ID)+".json")
	return path, eris.Wrap(os.WriteFile(path, data, 0o644), "write host settings")
}
