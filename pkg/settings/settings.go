// Package settings reads the static settings of one host from a file of JSON with
// comments. Unknown fields are rejected, and durations are strings such as "3s".
// All findings in a file are reported together, each with file, line and field.
//
// Static settings do not change while the process runs. What changes under live
// traffic is configuration and comes from the log.
package settings

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Settings are the static settings of one host.
type Settings struct {
	// Host identifies this host and its location. Required.
	Host Host `json:"host"`
	// Listen holds the addresses that this host listens on. Required.
	Listen Listen `json:"listen"`
	// Platform holds the addresses of the platform's interfaces. Required.
	Platform Platform `json:"platform"`
	// Limits holds the limits on what callers may send and keep open.
	Limits Limits `json:"limits"`
	// Timings holds periods, terms and delays.
	Timings Timings `json:"timings"`
	// Scheduling holds the targets and weights of routing, admission and planning.
	Scheduling Scheduling `json:"scheduling"`
	// Logging holds the level, the format and the destination of the log lines.
	Logging Logging `json:"logging"`
	// TLS holds the certificates of the listeners. Default: no TLS.
	TLS TLS `json:"tls"`
	// Operators lists the users of the operator interface. Default: none, which
	// denies all access to it.
	Operators []Operator `json:"operators"`
}

// Host identifies a host and its location.
type Host struct {
	// ID is unique among the hosts of the deployment. Required.
	ID model.HostID `json:"id"`
	// Region groups data centres. Required.
	Region model.RegionID `json:"region"`
	// DataCentre is where the host runs. Required.
	DataCentre model.DataCentreID `json:"data_centre"`
}

// Listen holds the addresses that a host listens on, each as "ip:port".
type Listen struct {
	// Callers is the address for callers. Required.
	Callers string `json:"callers"`
	// Operators is the address for operators and health checks. Required.
	Operators string `json:"operators"`
	// Peers is the address for other hosts. Required.
	Peers string `json:"peers"`
	// PeerAdvertised is the address that other hosts dial. Default: Peers.
	PeerAdvertised string `json:"peer_advertised"`
}

// Operator is one user of the operator interface.
type Operator struct {
	// Name appears in the audit log and in the history of changes. Required.
	Name string `json:"name"`
	// TokenSHA256 is the hexadecimal SHA-256 digest of the operator's bearer
	// token, as redwingctl keygen prints it. Required.
	TokenSHA256 string `json:"token_sha256"`
}

// Default returns the settings with every default applied and the required
// fields empty.
func Default() *Settings {
	return &Settings{
		Platform:   defaultPlatform(),
		Limits:     defaultLimits(),
		Timings:    defaultTimings(),
		Scheduling: defaultScheduling(),
		Logging:    defaultLogging(),
	}
}

// Load reads and checks a settings file. An error about its content is of type
// Findings.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads and checks settings. Findings carry name as the name of the file.
// An error is of type Findings.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	d := newDecoder(name, data)
	if !d.decode(s) {
		return nil, d.findings
	}
	s.derive()
	s.validate(d)
	if len(d.findings) > 0 {
		d.findings.sort()
		return nil, d.findings
	}
	return s, nil
}

// Check fills derived defaults and checks settings that were not read from a
// file. An error is of type Findings.
func (s *Settings) Check() error {
	s.derive()
	d := newDecoder("settings", nil)
	d.offsets[""] = 0
	s.validate(d)
	if len(d.findings) > 0 {
		return d.findings
	}
	return nil
}

// derive fills unset fields whose default is the value of another field.
func (s *Settings) derive() {
	if s.Listen.PeerAdvertised == "" {
		s.Listen.PeerAdvertised = s.Listen.Peers
	}
	s.Platform.derive()
}
