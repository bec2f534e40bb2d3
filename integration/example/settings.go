package example

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// names are the values of an example that differ between hosts or must be replaced on
// a test machine, as its settings file has them.
type names struct {
	host       string
	region     model.RegionID
	centres    []model.DataCentreID
	callers    string
	operators  string
	peers      string
	platform   string
	model      model.PoolName
	service    model.PoolName
	tls        bool
	serverName string
}

const (
	placeholderTokenDigest = "0000000000000000000000000000000000000000000000000000000000000000"
	exampleTLSDir          = "/etc/redwingpath/tls"
)

var examples = map[string]names{
	Duelas: {
		host: "duelas", region: "andina", centres: []model.DataCentreID{"armenia", "pereira", "manizales"},
		callers: "10.20.1.11:8080", operators: "10.20.1.11:8081", peers: "10.20.1.11:8082",
		platform: "http://10.20.0.5:7000", model: "tasador", service: "pedidos",
	},
	RefundOffice: {
		host: "rahat", region: "bagmati", centres: []model.DataCentreID{"bag-a", "bag-b", "bag-c"},
		callers: "10.30.1.11:8443", operators: "10.30.1.11:8444", peers: "10.30.1.11:8445",
		platform: "http://10.30.0.5:7000", model: "varsha-llm", service: "rahat-api",
		tls: true, serverName: "peer.rahat.internal",
	},
}

// writeSettings writes the settings file of one host: the example's file with the
// host's identity, addresses, certificates and operator token filled in, as its
// comments ask for. All other settings keep the example's values.
func (d *Deployment) writeSettings(h *Host, centre model.DataCentreID, peers string) (string, error) {
	data, err := os.ReadFile(filepath.Join(d.Root, "examples", d.config.Example, "host.jsonc"))
	if err != nil {
		return "", eris.Wrap(err, "read example settings")
	}
	text := string(data)
	changes := [][2]string{
		{fmt.Sprintf(`"id": "%s-1"`, d.names.host), fmt.Sprintf(`"id": %q`, h.ID)},
		{fmt.Sprintf(`"data_centre": %q`, d.names.centres[0]), fmt.Sprintf(`"data_centre": %q`, centre)},
		{`"` + d.names.callers, `"` + h.callers},
		{`"` + d.names.operators, `"` + h.operators},
		{`"` + d.names.peers, `"` + peers},
		{d.names.platform, d.Addresses.Platform},
		{placeholderTokenDigest, d.tokenDigest},
	}
	if d.config.Limits != "" {
		const next = `"timings": {`
		changes = append(changes, [2]string{next, d.config.Limits + "\n\t" + next})
	}
	if d.names.tls {
		changes = append(changes, [2]string{exampleTLSDir, d.config.Dir})
	}
	for _, c := range changes {
		if !strings.Contains(text, c[0]) {
			return "", eris.Errorf("settings of example %s do not contain %s", d.config.Example, c[0])
		}
		text = strings.ReplaceAll(text, c[0], c[1])
	}
	path := filepath.Join(d.config.Dir, string(h.ID)+".jsonc")
	return path, eris.Wrap(os.WriteFile(path, []byte(text), 0o600), "write settings")
}
