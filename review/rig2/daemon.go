package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// A Daemon is a process of the project's daemon on a host of its own.
type Daemon struct {
	Name    string
	Front   string // address for clients
	ready   string // address for readiness probes
	program string
	boot    string // path of the settings file
	logPath string
	process *exec.Cmd
}

// Bounds are those of the settings that differ between deployments.
type Bounds struct {
	CPUShare float64 // of a core
}

// freePort returns a port of a host that nothing listens on.
func freePort(host string) (port int, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return 0, err
	}
	port = listener.Addr().(*net.TCPAddr).Port
	return port, listener.Close()
}

// newDaemon writes the settings of a daemon that uses a store at an address.
func newDaemon(program, dir, name, host, storeAddress string, bounds Bounds) (d *Daemon, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings of daemon %s: %w", name, err)
		}
	}()
	var ports [4]int
	for i := range ports {
		if ports[i], err = freePort(host); err != nil {
			return nil, err
		}
	}
	address := func(i int) string { return net.JoinHostPort(host, strconv.Itoa(ports[i])) }
	d = &Daemon{
		Name: name, Front: address(0), ready: address(1), program: program,
		boot: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log"),
	}
	settings := map[string]any{
		"NodeName": name, "Role": "scheduler", "MachineClass": "edge", "Serves": []string{"edge"}, "Ip": host,
		"Zone": "z-1", "Region": "r-1", "Zones": map[string]string{"z-1": "r-1", "z-2": "r-1", "z-3": "r-1"},
		"Listen":        map[string]string{"Front": address(0), "Ready": address(1), "Control": address(2)},
		"InternalPorts": []int{ports[3], ports[3]}, "Bootstrap": true, "Discovery": "platform", "EntryMode": "vip",
		"Limits":      map[string]any{"CpuShare": bounds.CPUShare, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100},
		"HeartbeatMs": Heartbeat.Milliseconds(), "Orders": "call",
		"Bounds": map[string]any{
			"ContactMs": Contact.Milliseconds(), "AckMs": 4000, "DrainMs": 2500, "GraceS": 6, "ConfigApplyMs": 2500, "EvacuateMs": 5000,
			"MaxHoldMs": 3000, "StopTimeoutMs": 200, "GangTimeoutMs": 3000, "cancel_ms": cancelBound.Milliseconds(), "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "SlowdownFactor": 1.5, "LeaseMs": 3000, "ImpactMs": 4000, "RequireFence": true,
		},
		"platform": map[string]any{
			"Address": storeAddress, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1 << 20, "MinTtlMs": 1000,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.boot, data, 0o600)
}

// start starts the process as deploy/system.toml says.
func (d *Daemon) start() (err error) {
	out, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.process = exec.Command(d.program)
	d.process.Env = []string{"KUMQUATSTACK_BOOT=" + d.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(d.boot), "LANG=C"}
	d.process.Stdout, d.process.Stderr = out, out
	err = d.process.Start()
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal syscall.Signal) error { return d.process.Process.Signal(signal) }

// end kills the process and waits for its end.
func (d *Daemon) end() {
	if d.process == nil || d.process.Process == nil {
		return
	}
	// The process may have ended by itself, and what it returns then does not matter.
	_ = d.process.Process.Kill()
	_ = d.process.Wait()
}

// isReady reports whether the daemon answers a readiness probe with 200.
func (d *Daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/kumquatstack/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
