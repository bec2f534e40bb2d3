package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/standin/enginesim"
)

type measurement struct {
	dir              string
	binaries         harness.Binaries
	settle, duration time.Duration
	runs             int
}

// averages holds the results of one run, averaged over its hosts.
type averages struct {
	// cpu is the processor time in percent of a core.
	cpu float64
	// memory is the resident memory in MB.
	memory float64
	// bytes is the number of bytes read and written per second.
	bytes float64
}

func (m *measurement) series(ctx context.Context, name string, points []point) error {
	var x, cpu, memory, bytes []float64
	for _, p := range points {
		f, err := m.run(ctx, p)
		if err != nil {
			return err
		}
		fmt.Printf("point series=%s hosts=%d engines=%d changes_per_s=%g cpu=%.2f%% memory=%.1fMB bytes=%.0fB/s\n",
			name, p.hosts, p.engines, p.changesPerSecond, f.cpu, f.memory, f.bytes)
		x = append(x, p.variedValue(name))
		cpu = append(cpu, f.cpu)
		memory = append(memory, f.memory)
		bytes = append(bytes, f.bytes)
	}
	printFit(name, "cpu_percent", x, cpu)
	printFit(name, "memory_mb", x, memory)
	printFit(name, "bytes_per_s", x, bytes)
	return nil
}

// variedValue returns the parameter that the named series varies.
func (p *point) variedValue(name string) float64 {
	switch name {
	case "hosts":
		return float64(p.hosts)
	case "engines":
		return float64(p.engines)
	default:
		return p.changesPerSecond
	}
}

func printFit(name, metric string, x, y []float64) {
	base, slope := stat.LinearRegression(x, y, nil, false)
	r2 := stat.RSquared(x, y, nil, base, slope)
	fmt.Printf("fit series=%s %s = %.4g + %.4g x, r2 %.3f\n", name, metric, base, slope, r2)
}

// run starts the deployment of a point and measures it.
func (m *measurement) run(ctx context.Context, p point) (averages, error) {
	m.runs++
	dir := filepath.Join(m.dir, fmt.Sprintf("run-%d", m.runs))
	if err := os.Mkdir(dir, 0o755); err != nil {
		return averages{}, err
	}
	root, err := filepath.Abs("..")
	if err != nil {
		return averages{}, err
	}
	d, err := example.Start(example.Config{
		Example: example.Duelas, Binaries: m.binaries, Root: root, Dir: dir,
		Hosts: p.hosts, Engines: p.engines, Services: 1, Engine: enginesim.Config{}, NoRecording: true,
	})
	if err != nil {
		return averages{}, err
	}
	defer d.Close()
	if err := d.StartHosts(ctx); err != nil {
		return averages{}, err
	}
	if _, err := d.Hosts[0].ControlUntilAccepted(ctx, "run", "create org bench rate 100 burst 100"); err != nil {
		return averages{}, err
	}
	time.Sleep(m.settle)
	changesCtx, stop := context.WithTimeout(ctx, m.duration)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- applyChanges(changesCtx, d.Hosts[0], p.changesPerSecond) }()
	f, err := m.observe(d.Hosts)
	if err != nil {
		return f, err
	}
	return f, <-done
}

func (m *measurement) observe(hosts []*example.Host) (averages, error) {
	before, err := totalUsage(hosts)
	if err != nil {
		return averages{}, err
	}
	time.Sleep(m.duration)
	after, err := totalUsage(hosts)
	if err != nil {
		return averages{}, err
	}
	n, seconds := float64(len(hosts)), m.duration.Seconds()
	return averages{
		cpu:    100 * (after.processor - before.processor).Seconds() / seconds / n,
		memory: float64(after.memory) / 1e6 / n,
		bytes:  float64(after.bytes-before.bytes) / seconds / n,
	}, nil
}

// applyChanges changes the configuration at a fixed rate until ctx ends.
func applyChanges(ctx context.Context, h *example.Host, perSecond float64) error {
	if perSecond == 0 {
		return nil
	}
	client, err := h.Client()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, err := client.Run(ctx, fmt.Sprintf("change org bench rate %d", 100+n%50)); err != nil && ctx.Err() == nil {
			return err
		}
	}
}
