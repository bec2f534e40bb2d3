package harness

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// socketOwner returns which of the given processes opened a loopback connection that
// this process accepted, or 0 if none did. Hosts share one loopback address, so that
// only the kernel's socket table tells them apart.
func socketOwner(c net.Conn, pids []int) int {
	remote, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return 0
	}
	local, err := netip.ParseAddrPort(c.LocalAddr().String())
	if err != nil {
		return 0
	}
	inode := socketInode(remote.Port(), local.Port())
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		if ownsSocket(pid, inode) {
			return pid
		}
	}
	return 0
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

func socketInode(localPort, remotePort uint16) string {
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, err := os.ReadFile(table)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			fields := strings.Fields(line)
			if len(fields) > columnInode && portOf(fields[columnLocal]) == localPort && portOf(fields[columnRemote]) == remotePort {
				return fields[columnInode]
			}
		}
	}
	return ""
}

func portOf(address string) uint16 {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.ParseUint(port, 16, 16)
	return uint16(n)
}

func ownsSocket(pid int, inode string) bool {
	wanted := "socket:[" + inode + "]"
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil && link == wanted {
			return true
		}
	}
	return false
}
