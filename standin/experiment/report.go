package experiment

import (
	"bytes"
	"encoding/json"
	"html/template"
	"os"
	"path/filepath"
	"strings"
)

// plottedMetrics lists the metrics that the report page plots.
var plottedMetrics = []string{"of bound", "worst/mean", "ttft p95 ms", "role changes"}

// WriteReport writes results, summary, plots and report page to a directory.
func WriteReport(dir string, results []*Result, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "results.json"), results); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "summary.json"), rows); err != nil {
		return err
	}
	images, err := writePlots(dir, results, rows)
	if err != nil {
		return err
	}
	return writePage(dir, images, rows)
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

func fileName(metricName string) string {
	return strings.NewReplacer(" ", "-", "/", "-of-").Replace(metricName)
}

func writePlots(dir string, results []*Result, rows []Row) ([]string, error) {
	var images []string
	for _, d := range Deployments() {
		present := false
		for _, row := range rows {
			present = present || row.Deployment == d.Name
		}
		if !present {
			continue
		}
		for _, m := range plottedMetrics {
			name, err := plotMetric(dir, d.Name, m, rows)
			if err != nil {
				return nil, err
			}
			images = append(images, name)
		}
		for _, s := range []string{"shift", "cold", "overload"} {
			name, err := plotMinutes(dir, d.Name, s, results)
			if err != nil {
				return nil, err
			}
			images = append(images, name)
		}
	}
	return images, nil
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8">
<title>Scheduling measurements</title>
<style>body{font-family:sans-serif;margin:2em}img{max-width:100%}pre{overflow-x:auto}</style>
<h1>Scheduling measurements</h1>
<p>Means over the seeds, with the standard deviation where ± is shown. Scenarios with * were held out of tuning, with seeds of their own.
The offline bound relaxes the problem: one pool of all engines without queues, roles, drains, crashes or reclaims; perfect caching without limit; best batch size always;
requests may be served in part; work of a window only has to fit between its first arrival and its last deadline.
The cost bound has no lead times, no forecast errors and no spare capacity.</p>
<pre>{{.Table}}</pre>
{{range .Images}}<p><img src="{{.}}" alt="{{.}}"></p>
{{end}}`))

func writePage(dir string, images []string, rows []Row) error {
	var table bytes.Buffer
	if err := WriteTable(&table, rows); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	defer f.Close()
	return page.Execute(f, struct {
		Table  string
		Images []string
	}{table.String(), images})
}
