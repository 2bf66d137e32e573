package settings

import (
	"io"

	"github.com/jessevdk/go-flags"
)

// Platform are the settings of `cowslipd platform` that its settings file does not
// have.
type Platform struct {
	MetricsPort uint16 `long:"metrics-port" env:"COWSLIP_METRICS_PORT" default:"9108" description:"Port on the host's own address where metrics are served; 0: none"`
	// The operators' API that reads: members of the control group serve it.
	OperatorPort      uint16 `long:"operator-port" env:"COWSLIP_OPERATOR_PORT" default:"0" description:"Port on the host's own address where a control member answers operators' questions; 0: none"`
	OperatorTokenFile string `long:"operator-token-file" env:"COWSLIP_OPERATOR_TOKEN_FILE" description:"File with the operators' token, mode 0600"`
}

// ParsePlatform reads the settings of `cowslipd platform` from its arguments and the
// environment. Errors: ErrHelp after the help has been written, fault.InvalidRequest.
func ParsePlatform(args []string, help io.Writer) (*Platform, error) {
	var o Platform
	parser := flags.NewNamedParser("cowslipd platform", flags.HelpFlag|flags.PassDoubleDash)
	// The only error is a malformed tag, which the tests of this package would show.
	if _, err := parser.AddGroup("Settings", "", &o); err != nil {
		panic(err)
	}
	if err := parse(parser, args, help); err != nil {
		return nil, err
	}
	return &o, nil
}
