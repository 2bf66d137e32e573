package daemon

import (
	"net/http"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/control"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/settings"
)

// operatorToken reads the token of the operators' API; empty where the API is not served.
func operatorToken(o *settings.Platform) (string, error) {
	if o.OperatorPort == 0 {
		return "", nil
	}
	return control.OperatorToken(o.OperatorTokenFile)
}

// operatorsAddress is where this process serves the operators' API; empty: it does not. As with the
// metrics, a port that the platform has given to another listener must not keep a process from starting.
func (b *platformBuilder) operatorsAddress() string {
	if b.operatorPort == 0 || b.member == nil {
		return ""
	}
	if b.process.UsesPort(int(b.operatorPort)) || b.operatorPort == b.metricsPort {
		b.log.Warn("the operators' API is not served, its port is another listener's", "port", b.operatorPort)
		return ""
	}
	return addressOf(b.process.IP, b.operatorPort)
}

// maxQuestion bounds the body of an operator's question, in bytes.
const maxQuestion = 1 << 20

// startOperators serves what the operators' API reads, on the control member that runs at the time. A
// host whose port is taken serves callers without it.
func (c *platformControl) startOperators() {
	address := c.builder.operatorsAddress()
	if address == "" {
		return
	}
	l, err := c.builder.listen(address)
	if err != nil {
		c.builder.log.Error("the operators' API is not served", "error", err)
		return
	}
	handler := c.builder.bodies.Handler(http.HandlerFunc(c.serveOperators), intake.HandlerOptions{
		Limit: maxQuestion, Timeout: operatorTime, Refuse: control.Refuse,
	})
	c.operators = &http.Server{Handler: handler, ReadHeaderTimeout: operatorTime, IdleTimeout: operatorIdle}
	limited := inbound.Limited(l, c.builder.limits.Connections().Other)
	go func() {
		if err := c.operators.Serve(limited); err != http.ErrServerClosed {
			c.builder.log.Error("listener of the operators' API ended", "error", err)
		}
	}()
}

func (c *platformControl) serveOperators(w http.ResponseWriter, r *http.Request) {
	role := c.builder.controlMember()
	if role == nil {
		control.Refuse(w, fault.New(fault.Unavailable, "this control member is not running"))
		return
	}
	role.ReadOnlyHandler(c.builder.operatorToken).ServeHTTP(w, r)
}
