package control

import (
	"cowsliptiller/coord/state"
	"cowsliptiller/server/metrics"
)

// Standing reads how this member stands, for metrics.
func (c *Role) Standing() metrics.ControlStatus {
	st := c.log.Status()
	out := metrics.ControlStatus{
		Leading: st.Leading, Term: st.Term, Commit: st.Commit, Applied: st.Applied,
		Members: len(st.Members), Replicas: map[string]int{},
	}
	for _, m := range st.Members {
		if m.Learner {
			out.Learners++
		}
	}
	c.machine.Read(func(s *state.State) {
		out.Revision, out.ConfigurationRevision = s.Revision(), s.ConfigurationRevision()
		out.Hosts = len(s.Hosts())
		for _, r := range s.Replicas() {
			out.Replicas[replicaState(r.State)]++
		}
	})
	return out
}
