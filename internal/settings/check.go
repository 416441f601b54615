package settings

import (
	"log/slog"
	"net/netip"
	"net/url"
	"time"

	"pollenbend/internal/tomlfile"
)

// Bounds of the settings. A number of heartbeats counts intervals of
// timing.heartbeat.
const (
	maxBodyBytes          = 1 << 30
	maxQueuePerTeam       = 1 << 20
	maxDuration           = 24 * time.Hour
	minHeartbeatsToDead   = 3 // missed in a row before an instance is considered dead
	minHeartbeatsPerLease = 2 // within a worker lease, and within timing.config_freshness
)

const urlForm = `an http or https URL with an IP number, such as "http://10.0.0.9:7000"`

func check(c *tomlfile.Checker, s Settings) {
	checkInstance(c, s.Instance)
	checkAddress(c, "listen.http", s.Listen.HTTP)
	checkAddress(c, "listen.peer", s.Listen.Peer)
	if s.Listen.HTTP == s.Listen.Peer && s.Listen.Peer != "" {
		reportSameAddress(c, s.Listen.Peer)
	}
	checkURL(c, "platform.log_url", s.Platform.LogURL)
	checkURL(c, "platform.list_url", s.Platform.ListURL)
	c.Require(s.Platform.Stream != "", "platform.stream", "expected the name of a log stream")
	checkTLS(c, s.TLS)
	checkLimits(c, s.Limits)
	checkTiming(c, s.Timing)
	checkLevel(c, s.Log.Level)
}

func checkInstance(c *tomlfile.Checker, i Instance) {
	c.Require(i.ID != "", "instance.id", "expected the name of this instance")
	c.Require(i.Region != "", "instance.region", "expected the name of its region")
	c.Require(i.Zone != "", "instance.zone", "expected the name of its availability zone")
}

func checkAddress(c *tomlfile.Checker, key, addr string) {
	if addr == "" {
		c.Require(false, key, `expected an address IP:port, such as "10.0.0.1:8080"`)
		return
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.Add(key, `expected an address IP:port, such as "10.0.0.1:8080", got %q`, addr)
	}
}

// reportSameAddress reports two listeners on the same address. Port 0 is exempt, since
// it stands for any free port.
func reportSameAddress(c *tomlfile.Checker, addr string) {
	if ap, err := netip.ParseAddrPort(addr); err == nil && ap.Port() != 0 {
		c.Add("listen.peer", "expected an address other than listen.http, got %q", addr)
	}
}

func checkURL(c *tomlfile.Checker, key, raw string) {
	if raw == "" {
		c.Require(false, key, "expected "+urlForm)
		return
	}
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || !isIP(u.Hostname()) {
		c.Add(key, "expected %s, got %q", urlForm, raw)
	}
}

func isIP(host string) bool {
	_, err := netip.ParseAddr(host)
	return err == nil
}

// checkTLS requires either three file paths or three PEM texts.
func checkTLS(c *tomlfile.Checker, t TLS) {
	files := t.CA != "" || t.Cert != "" || t.Key != ""
	inline := t.CAPEM != "" || t.CertPEM != "" || t.KeyPEM != ""
	switch {
	case files && inline:
		c.Add("tls", "expected either ca, cert and key or ca_pem, cert_pem and key_pem, got both")
	case inline:
		c.Require(t.CAPEM != "", "tls.ca_pem", "expected the certificate authority as PEM text")
		c.Require(t.CertPEM != "", "tls.cert_pem", "expected this instance's certificate as PEM text")
		c.Require(t.KeyPEM != "", "tls.key_pem", "expected this instance's private key as PEM text")
	default:
		c.Require(t.CA != "", "tls.ca", "expected the path of the certificate authority's PEM file")
		c.Require(t.Cert != "", "tls.cert", "expected the path of this instance's certificate")
		c.Require(t.Key != "", "tls.key", "expected the path of this instance's private key")
	}
}

func checkLimits(c *tomlfile.Checker, l Limits) {
	if l.MaxBody.Bytes < 1 || l.MaxBody.Bytes > maxBodyBytes {
		c.Add("limits.max_body", "expected a size from 1B to 1GiB, got %s", l.MaxBody)
	}
	if l.MaxQueuePerTeam < 1 || l.MaxQueuePerTeam > maxQueuePerTeam {
		c.Add("limits.max_queue_per_team", "expected a number from 1 to %d, got %d", maxQueuePerTeam, l.MaxQueuePerTeam)
	}
	checkDuration(c, "limits.request_timeout", l.RequestTimeout.Duration)
	checkDuration(c, "limits.retention", l.Retention.Duration)
	checkAtLeast(c, durationSetting{"limits.retention", l.Retention.Duration}, 1, durationSetting{"limits.request_timeout", l.RequestTimeout.Duration})
}

func checkTiming(c *tomlfile.Checker, t Timing) {
	heartbeat := durationSetting{"timing.heartbeat", t.Heartbeat.Duration}
	dead := durationSetting{"timing.dead_after", t.DeadAfter.Duration}
	worker := durationSetting{"timing.worker_lease", t.WorkerLease.Duration}
	task := durationSetting{"timing.task_lease", t.TaskLease.Duration}
	fresh := durationSetting{"timing.config_freshness", t.ConfigFreshness.Duration}
	for _, p := range []durationSetting{heartbeat, dead, worker, task, fresh} {
		checkDuration(c, p.key, p.value)
	}
	checkAtLeast(c, dead, minHeartbeatsToDead, heartbeat)
	checkAtLeast(c, worker, minHeartbeatsPerLease, heartbeat)
	checkAtLeast(c, task, 1, worker)
	checkAtLeast(c, fresh, minHeartbeatsPerLease, heartbeat)
}

// durationSetting is a setting of type duration and its key.
type durationSetting struct {
	key   string
	value time.Duration
}

func checkDuration(c *tomlfile.Checker, key string, d time.Duration) {
	if d <= 0 || d > maxDuration {
		c.Add(key, "expected a duration over 0s and at most 24h, got %s", d)
	}
}

// checkAtLeast requires long to be at least times short. It skips settings that
// already have a fault.
func checkAtLeast(c *tomlfile.Checker, long durationSetting, times int, short durationSetting) {
	if !c.FaultFree(long.key, short.key) || long.value >= time.Duration(times)*short.value {
		return
	}
	if times == 1 {
		c.Add(long.key, "expected at least %s, which is %s, got %s", short.key, short.value, long.value)
		return
	}
	c.Add(long.key, "expected at least %d times %s, which is %s, got %s", times, short.key, short.value, long.value)
}

func checkLevel(c *tomlfile.Checker, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.Add("log.level", "expected debug, info, warn or error, got %q", level)
	}
}

// SlogLevel returns the level as a log/slog level, or LevelInfo if it is unknown.
func (l Log) SlogLevel() slog.Level {
	level := slog.LevelInfo
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}
