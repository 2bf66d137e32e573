package daemon

import (
	"os"

	"cowsliptiller/server/control"
	"cowsliptiller/server/metrics"
	"cowsliptiller/server/settings"
)

// exitFatal is the exit code of a control member that stopped itself.
const exitFatal = 3

func (b *builder) addControl() error {
	role, err := control.Open(b.options, b.secret, b.log.Named(settings.RoleControl), b.fatal)
	if err != nil {
		return err
	}
	role.LimitRequests(b.bodies, b.limits)
	metrics.RegisterControl(b.registry, role.Standing)
	role.Register(b.registry)
	b.roles = append(b.roles, role)
	return nil
}

// fatal ends the process: a member whose disk failed, or whose id belongs to
// another disk, must not answer anything more.
func (b *builder) fatal(err error) {
	b.log.Error("this control member must not go on", "error", err)
	os.Exit(exitFatal)
}
