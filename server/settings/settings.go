package settings

import "time"

// Options are all settings of cowslipd. Each has a flag and an environment
// variable; the flag wins.
type Options struct {
	Common  Common  `group:"Process"`
	Entry   Entry   `group:"Entry role"`
	Agent   Agent   `group:"Agent role"`
	Control Control `group:"Control role"`
}

// Common settings hold for every role.
type Common struct {
	Roles            []string      `long:"roles" env:"COWSLIP_ROLES" env-delim:"," description:"Roles of this process: entry, agent, control"`
	Host             string        `long:"host" env:"COWSLIP_HOST" description:"Name of this host, unique in the fleet"`
	FailureDomain    string        `long:"failure-domain" env:"COWSLIP_FAILURE_DOMAIN" description:"Failure domain of this host"`
	InternalAddress  string        `long:"internal-address" env:"COWSLIP_INTERNAL_ADDRESS" description:"IP:port for calls between our processes, listened on and told to others"`
	AdvertiseAddress string        `long:"advertise-address" env:"COWSLIP_ADVERTISE_ADDRESS" description:"IP:port that others call, where it differs from --internal-address"`
	SecretFile       string        `long:"secret-file" env:"COWSLIP_SECRET_FILE" description:"File with the secret that all processes share, mode 0600"`
	ControlAddresses []string      `long:"control-address" env:"COWSLIP_CONTROL_ADDRESSES" env-delim:"," description:"IP:port of a control process's internal listener; give it once for each"`
	LogLevel         string        `long:"log-level" env:"COWSLIP_LOG_LEVEL" default:"info" description:"Least level that is logged: trace, debug, info, warn or error"`
	LogFormat        string        `long:"log-format" env:"COWSLIP_LOG_FORMAT" default:"text" description:"Form of log lines: text or json"`
	DrainTimeout     time.Duration `long:"drain-timeout" env:"COWSLIP_DRAIN_TIMEOUT" default:"10m" description:"Longest wait for running requests at a shutdown"`
	HealthAddress    string        `long:"health-address" env:"COWSLIP_HEALTH_ADDRESS" description:"IP:port for /healthz, /readyz and /metrics"`
	MemoryMb         int64         `long:"memory-mb" env:"COWSLIP_MEMORY_MB" default:"0" description:"Memory that this process may use, in MiB; a fifth of it is for request bodies; 0: that of the host or of the control group"`
	MaxFiles         int           `long:"max-files" env:"COWSLIP_MAX_FILES" default:"0" description:"File descriptors that this process may use; half of them are for callers' connections; 0: its limit of open files"`
	CheckSettings    bool          `long:"check-settings" description:"Check the settings and exit"`
}

// Entry settings.
type Entry struct {
	Address      string `long:"entry-address" env:"COWSLIP_ENTRY_ADDRESS" description:"IP:port for callers"`
	MaxBodyBytes int64  `long:"entry-max-body" env:"COWSLIP_ENTRY_MAX_BODY" default:"8388608" description:"Largest request body, in bytes"`
	MaxRequests  int    `long:"entry-max-requests" env:"COWSLIP_ENTRY_MAX_REQUESTS" default:"4096" description:"Most requests held at once"`
}

// Agent settings.
type Agent struct {
	Target    string `long:"agent-target" env:"COWSLIP_AGENT_TARGET" description:"Name of the target beside this agent, as in the questionnaire"`
	TargetURL string `long:"agent-target-url" env:"COWSLIP_AGENT_TARGET_URL" description:"http://IP:port of the target"`
}

// Control settings.
type Control struct {
	DataFolder        string        `long:"control-data" env:"COWSLIP_CONTROL_DATA" description:"Data folder, on a disk"`
	MemberID          uint64        `long:"control-member-id" env:"COWSLIP_CONTROL_MEMBER_ID" description:"Id of this control process, never used again after its disk is lost"`
	Members           []string      `long:"control-member" env:"COWSLIP_CONTROL_MEMBERS" env-delim:"," description:"First members as id=IP:port; give it once for each"`
	Join              bool          `long:"control-join" env:"COWSLIP_CONTROL_JOIN" description:"Join a running group instead of forming one"`
	OperatorAddress   string        `long:"operator-address" env:"COWSLIP_OPERATOR_ADDRESS" description:"IP:port for operators"`
	OperatorTokenFile string        `long:"operator-token-file" env:"COWSLIP_OPERATOR_TOKEN_FILE" description:"File with the operators' token, mode 0600"`
	Tick              time.Duration `long:"control-tick" env:"COWSLIP_CONTROL_TICK" default:"50ms" description:"Heartbeat interval of the replicated log; an election takes 10 to 20 ticks"`
	Freshness         time.Duration `long:"control-freshness" env:"COWSLIP_CONTROL_FRESHNESS" default:"3s" description:"Freshness lease of entry hosts and agents"`
	PlatformList      string        `long:"control-platform-list" env:"COWSLIP_CONTROL_PLATFORM_LIST" description:"http://IP:port/path of the platform's list of live and leaving hosts; empty: none"`
	// PrivateDisk says that only this process sees the disk, so that the modes of its
	// folders are not judged. It has no flag: a host's own operator sets modes.
	PrivateDisk bool
	RestoreFrom string `long:"control-restore" env:"COWSLIP_CONTROL_RESTORE" description:"Backup file to start a new group from; the data folder must be empty"`
}

// Advertised returns the address that other processes call.
func (c Common) Advertised() string {
	if c.AdvertiseAddress != "" {
		return c.AdvertiseAddress
	}
	return c.InternalAddress
}
