package metrics

import "github.com/prometheus/client_golang/prometheus"

// ControlStatus is the status of a control member, read at each scrape.
type ControlStatus struct {
	Leading               bool
	Term                  uint64
	Commit                uint64
	Applied               uint64
	Members               int
	Learners              int
	Revision              uint64
	ConfigurationRevision uint64
	Hosts                 int
	Replicas              map[string]int // number of replicas by state
}

// controlCollector computes the metrics from the member's status at each scrape. Separate
// counters could diverge from the replicated state.
type controlCollector struct {
	read     func() ControlStatus
	gauges   []gauge
	replicas *prometheus.Desc
}

type gauge struct {
	desc  *prometheus.Desc
	value func(ControlStatus) float64
}

// RegisterControl registers the metrics of a control member. read is called at each
// scrape.
func RegisterControl(r prometheus.Registerer, read func() ControlStatus) {
	c := &controlCollector{
		read:     read,
		replicas: prometheus.NewDesc("cowslip_control_replicas", "Replica decisions, by state: load, ready or unload.", []string{"state"}, nil),
	}
	c.add("cowslip_control_leading", "1 where this member leads and holds the leader's lease.", func(s ControlStatus) float64 { return boolValue(s.Leading) })
	c.add("cowslip_control_term", "Term of the replicated log.", func(s ControlStatus) float64 { return float64(s.Term) })
	c.add("cowslip_control_commit_index", "Index of the newest committed entry known here.", func(s ControlStatus) float64 { return float64(s.Commit) })
	c.add("cowslip_control_applied_index", "Index of the newest applied entry.", func(s ControlStatus) float64 { return float64(s.Applied) })
	c.add("cowslip_control_members", "Control members, learners included.", func(s ControlStatus) float64 { return float64(s.Members) })
	c.add("cowslip_control_learners", "Control members without a vote.", func(s ControlStatus) float64 { return float64(s.Learners) })
	c.add("cowslip_control_state_revision", "Revision of the replicated state.", func(s ControlStatus) float64 { return float64(s.Revision) })
	c.add("cowslip_control_configuration_revision", "Revision of the configuration in force.", func(s ControlStatus) float64 { return float64(s.ConfigurationRevision) })
	c.add("cowslip_control_hosts", "Entry hosts and agents that are registered.", func(s ControlStatus) float64 { return float64(s.Hosts) })
	r.MustRegister(c)
}

func (c *controlCollector) add(name, help string, value func(ControlStatus) float64) {
	c.gauges = append(c.gauges, gauge{prometheus.NewDesc(name, help, nil, nil), value})
}

// Describe implements prometheus.Collector.
func (c *controlCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, g := range c.gauges {
		ch <- g.desc
	}
	ch <- c.replicas
}

// Collect implements prometheus.Collector.
func (c *controlCollector) Collect(ch chan<- prometheus.Metric) {
	s := c.read()
	for _, g := range c.gauges {
		ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.value(s))
	}
	for state, n := range s.Replicas {
		ch <- prometheus.MustNewConstMetric(c.replicas, prometheus.GaugeValue, float64(n), state)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
