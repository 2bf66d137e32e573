package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"cowsliptiller/coord/fault"
)

// The roles of a process.
const (
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	RoleControl = "control"
)

// Bounds of numeric settings. Outside them a value is a slip of the pen.
const (
	minTick      = 5 * time.Millisecond
	maxTick      = 10 * time.Second
	minFreshness = 500 * time.Millisecond
	maxFreshness = time.Minute
	minBody      = 1 << 10
	maxBody      = 1 << 30
	minMemoryMb  = 32
	maxMemoryMb  = 1 << 20
	minFiles     = 128
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker collects complaints about flags.
type checker struct {
	complaints []string
}

func (c *checker) complain(flag string, given any, allowed string) {
	c.complaints = append(c.complaints, fmt.Sprintf("--%s: %q given, allowed: %s", flag, fmt.Sprint(given), allowed))
}

// Has reports whether the process runs a role.
func (o *Options) Has(role string) bool {
	return slices.Contains(o.Common.Roles, role)
}

// Check returns an error that names every wrong setting.
func Check(o *Options) error {
	c := &checker{}
	c.common(&o.Common)
	if o.Has(RoleEntry) {
		c.entry(&o.Entry)
	}
	if o.Has(RoleAgent) {
		c.agent(&o.Agent)
	}
	if o.Has(RoleControl) {
		c.control(&o.Control)
	}
	if !o.Has(RoleControl) && len(o.Common.ControlAddresses) == 0 {
		c.complain("control-address", "", "at least one IP:port, since this process has no control role")
	}
	if len(c.complaints) > 0 {
		return fault.New(fault.InvalidRequest, "%s", strings.Join(c.complaints, "; "))
	}
	return nil
}

func (c *checker) common(s *Common) {
	seen := map[string]bool{}
	for _, r := range s.Roles {
		if !slices.Contains([]string{RoleEntry, RoleAgent, RoleControl}, r) || seen[r] {
			c.complain("roles", strings.Join(s.Roles, ","), "entry, agent and control, each once")
			break
		}
		seen[r] = true
	}
	if len(s.Roles) == 0 {
		c.complain("roles", "", "one or more of entry, agent, control")
	}
	c.name("host", s.Host)
	c.name("failure-domain", s.FailureDomain)
	c.address("internal-address", s.InternalAddress)
	if s.AdvertiseAddress != "" {
		c.address("advertise-address", s.AdvertiseAddress)
	}
	if s.HealthAddress != "" {
		c.address("health-address", s.HealthAddress)
	}
	for _, a := range s.ControlAddresses {
		c.address("control-address", a)
	}
	c.file("secret-file", s.SecretFile)
	c.choice("log-level", s.LogLevel, "trace", "debug", "info", "warn", "error")
	c.choice("log-format", s.LogFormat, "text", "json")
	if s.MemoryMb != 0 && (s.MemoryMb < minMemoryMb || s.MemoryMb > maxMemoryMb) {
		c.complain("memory-mb", s.MemoryMb, fmt.Sprintf("0, or %d to %d MiB", minMemoryMb, maxMemoryMb))
	}
	if s.MaxFiles != 0 && s.MaxFiles < minFiles {
		c.complain("max-files", s.MaxFiles, fmt.Sprintf("0, or %d or more", minFiles))
	}
	if s.DrainTimeout <= 0 {
		c.complain("drain-timeout", s.DrainTimeout, "a time above 0")
	}
}

func (c *checker) entry(s *Entry) {
	c.address("entry-address", s.Address)
	if s.MaxBodyBytes < minBody || s.MaxBodyBytes > maxBody {
		c.complain("entry-max-body", s.MaxBodyBytes, fmt.Sprintf("%d to %d bytes", minBody, maxBody))
	}
	if s.MaxRequests < 1 {
		c.complain("entry-max-requests", s.MaxRequests, "1 or more")
	}
}

func (c *checker) agent(s *Agent) {
	c.name("agent-target", s.Target)
	u, err := url.Parse(s.TargetURL)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" {
		c.complain("agent-target-url", s.TargetURL, "http://IP:port")
		return
	}
	c.address("agent-target-url", u.Host)
}

func (c *checker) list(flag, given string) {
	u, err := url.Parse(given)
	if err != nil || u.Scheme != "http" {
		c.complain(flag, given, "http://IP:port/path")
		return
	}
	c.address(flag, u.Host)
}

func (c *checker) control(s *Control) {
	if s.DataFolder == "" {
		c.complain("control-data", "", "a folder on a disk")
	}
	c.address("operator-address", s.OperatorAddress)
	c.file("operator-token-file", s.OperatorTokenFile)
	if s.MemberID == 0 {
		c.complain("control-member-id", 0, "a number above 0")
	}
	if s.Tick < minTick || s.Tick > maxTick {
		c.complain("control-tick", s.Tick, fmt.Sprintf("%s to %s", minTick, maxTick))
	}
	if s.Freshness < minFreshness || s.Freshness > maxFreshness {
		c.complain("control-freshness", s.Freshness, fmt.Sprintf("%s to %s", minFreshness, maxFreshness))
	}
	if s.PlatformList != "" {
		c.list("control-platform-list", s.PlatformList)
	}
	members, err := ParseMembers(s.Members)
	if err != nil {
		c.complain("control-member", strings.Join(s.Members, ","), err.Error())
		return
	}
	_, own := members[s.MemberID]
	if len(members) > 0 && !own && !s.Join {
		c.complain("control-member", strings.Join(s.Members, ","), "this member's own id among them, unless --control-join is given")
	}
}

func (c *checker) name(flag, given string) {
	if !nameForm.MatchString(given) {
		c.complain(flag, given, "1 to 63 lower-case letters, digits, '.', '_' or '-'")
	}
}

// address takes IP numbers only: a name can resolve to another process later,
// and a resolver that fails would take the fleet's own calls down with it.
func (c *checker) address(flag, given string) {
	a, err := netip.ParseAddrPort(given)
	if err != nil {
		c.complain(flag, given, "IP:port; host names are not allowed")
		return
	}
	if a.Port() == 0 {
		c.complain(flag, given, "IP:port with a port above 0")
	}
}

func (c *checker) choice(flag, given string, allowed ...string) {
	if !slices.Contains(allowed, given) {
		c.complain(flag, given, strings.Join(allowed, ", "))
	}
}

func (c *checker) file(flag, path string) {
	if path == "" {
		c.complain(flag, "", "a file")
		return
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() {
		c.complain(flag, path, "a file that can be read")
	}
}

// ParseMembers reads id=IP:port pairs.
func ParseMembers(pairs []string) (map[uint64]string, error) {
	members := make(map[uint64]string, len(pairs))
	for _, p := range pairs {
		id, address, found := strings.Cut(p, "=")
		n, err := strconv.ParseUint(id, 10, 64)
		if !found || err != nil || n == 0 {
			return nil, fmt.Errorf("id=IP:port with an id above 0")
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("id=IP:port; host names are not allowed")
		}
		if _, dup := members[n]; dup {
			return nil, fmt.Errorf("each id once")
		}
		members[n] = address
	}
	return members, nil
}
