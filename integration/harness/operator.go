package harness

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/operator"
)

const (
	operatorTimeout = 10 * time.Second
	probeInterval   = 500 * time.Millisecond
)

func (h *Host) operatorClient(timeout time.Duration) (*operator.Client, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return operator.NewClient(h.Operators, OperatorToken, client)
}

// Operate runs a script of the operators' language on a host and records the
// changes that the host reported as accepted.
func (d *Deployment) Operate(ctx context.Context, h *Host, script string) (*operator.RunResponse, error) {
	client, err := h.operatorClient(operatorTimeout)
	if err != nil {
		return nil, err
	}
	response, err := client.Run(ctx, script)
	acceptedNS := time.Now().UnixNano()
	if err != nil || response.Change == nil {
		return response, err
	}
	return response, d.recordChanges(ctx, model.Offset(response.Change.Offset), acceptedNS)
}

// recordChanges reads the accepted changes from the log rather than from the host's
// response.
func (d *Deployment) recordChanges(ctx context.Context, offset model.Offset, acceptedNS int64) error {
	read, err := d.platform.Read(ctx, offset, 1, 0)
	if err != nil {
		return eris.Wrap(err, "read an accepted change")
	}
	if len(read.Entries) == 0 || read.Entries[0].Offset != offset {
		return eris.Errorf("the log has no entry %d, although a host accepted a change there", offset)
	}
	records, _ := logrec.Decode(read.Entries[0].Data)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range records {
		body, err := logrec.DecodeBody[logrec.ConfigChange](&records[i])
		if records[i].Kind != logrec.KindConfig || err != nil {
			continue
		}
		for _, c := range body.Changes {
			d.changes = append(d.changes, check.Change{
				AcceptedNS: acceptedNS, Entity: c.Entity, ID: c.ID, Version: offset,
				Deleted: c.Delete, Revoked: revokes(&c),
			})
		}
	}
	return nil
}

func revokes(c *logrec.Change) bool {
	if c.Entity != logrec.EntityKey || c.Delete {
		return false
	}
	rec := logrec.Record{Body: c.Value}
	key, err := logrec.DecodeBody[model.Key](&rec)
	return err == nil && key.Revoked
}

// versionQueries are the operator scripts that show entity versions, by entity kind.
var versionQueries = []struct {
	entity logrec.EntityKind
	script string
}{
	{logrec.EntityKey, "show keys"},
	{logrec.EntityOrganisation, "show orgs"},
	{logrec.EntityShop, "show shops"},
	{logrec.EntityDrain, "show drains"},
}

// probe polls all hosts for the versions of changed entities until ctx is done.
func (d *Deployment) probe(ctx context.Context) {
	for {
		var probing sync.WaitGroup
		for _, h := range d.Hosts {
			probing.Go(func() { d.probeHost(ctx, h) })
		}
		probing.Wait()
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// probeHost records the versions that a host reports. A host that does not respond
// leaves no probe.
func (d *Deployment) probeHost(ctx context.Context, h *Host) {
	client, err := h.operatorClient(probeTimeout)
	if err != nil {
		return
	}
	for _, q := range versionQueries {
		changed := d.changedIDs(q.entity)
		if len(changed) == 0 {
			continue
		}
		sent := time.Now().UnixNano()
		response, err := client.Run(ctx, q.script)
		if err != nil || len(response.Tables) != 1 {
			return
		}
		p := check.Probe{SentNS: sent, ResponseNS: time.Now().UnixNano(), Host: h.ID, Entity: q.entity}
		d.addProbes(p, &response.Tables[0], changed)
	}
}

func (d *Deployment) changedIDs(entity logrec.EntityKind) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, c := range d.changes {
		if c.Entity == entity && !slices.Contains(ids, c.ID) {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// addProbes records the version of each changed entity, 0 if it is missing.
func (d *Deployment) addProbes(p check.Probe, table *operator.Table, changed []string) {
	column := slices.Index(table.Columns, "version")
	if column < 0 {
		return
	}
	versions := map[string]model.Offset{}
	for _, row := range table.Rows {
		n, _ := strconv.ParseUint(row[column], 10, 64)
		versions[row[0]] = model.Offset(n)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range changed {
		p.ID, p.Version = id, versions[id]
		d.probes = append(d.probes, p)
	}
}
