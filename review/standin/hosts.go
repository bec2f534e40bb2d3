package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one process of the system, started with the command of the deploy file.
type host struct {
	name, zone, ip string
	settings       string
	dir            string
	cmd            *exec.Cmd
	log            *os.File
}

func (h *host) front() string { return h.ip + ":8221" }

// ports are the ports on which a host listens.
var ports = []string{"8221", "8224", "8229", "7601"}

// freeNetwork returns the first three numbers of loopback addresses on which none of the
// ports is taken.
func freeNetwork(count int) string {
	for range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if allFree(prefix, count) {
			return prefix
		}
	}
	cannotRun("no free loopback addresses")
	return ""
}

func allFree(prefix string, count int) bool {
	for i := 1; i <= count; i++ {
		for _, port := range ports {
			l, err := net.Listen("tcp4", fmt.Sprint(prefix, i, ":", port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startHosts starts a number of hosts in each of the zones and waits until they are ready.
// The duties may be empty.
func startHosts(dir, storeAddress, apiAddress, duties string, zones []string, perZone int) []*host {
	prefix := freeNetwork(len(zones) * perZone)
	var hosts []*host
	for i := range perZone {
		for _, zone := range zones {
			hosts = append(hosts, &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprint(prefix, len(hosts)+1), dir: dir})
		}
	}
	var seeds, zoneLines []string
	for i, zone := range zones {
		seeds = append(seeds, hosts[i].ip+":8229")
		zoneLines = append(zoneLines, "zones."+zone+"=region-1")
	}
	for _, h := range hosts {
		lines := append([]string{
			"node=" + h.name, "role=redwingpath", "machine_class=edge", "serves=edge,control_plane", "ip=" + h.ip, "zone=" + h.zone, "region=region-1",
			"listen.front=" + h.front(), "listen.ready=" + h.ip + ":8224", "listen.control=" + h.ip + ":8229", "port_range=7600,7615",
			"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
			"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
			"bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_ms=2000",
			"bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=58", "bounds.quota_slack=190000", "bounds.require_fence=false",
			"bounds.lease_ms=3000", "bounds.usage_window_s=5", "bounds.usage_delay_s=10",
			"platform.address=" + storeAddress, "platform.form=log", "cloud.address=" + apiAddress, "cloud.duties=" + duties,
		}, zoneLines...)
		h.settings = filepath.Join(dir, h.name+".conf")
		check(os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
		h.start()
	}
	for _, h := range hosts {
		h.waitReady()
	}
	return hosts
}

// running lists the hosts that stopHosts ends.
var running = map[*host]bool{}

func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/redwingpath", "gateway")
	cmd.Env = []string{"REDWINGPATH_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	h.cmd, h.log = cmd, log
	running[h] = true
	note("host %s started, process %d", h.name, cmd.Process.Pid)
}

// kill ends the host with SIGKILL.
func (h *host) kill() {
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	_ = h.cmd.Wait()
	_ = h.log.Close()
	delete(running, h)
	note("host %s killed", h.name)
}

func (h *host) waitReady() {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ip + ":8224/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("host " + h.name + " is not ready")
}

func stopHosts() {
	for h := range running {
		h.kill()
	}
}
