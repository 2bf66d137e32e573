package settings

import (
	"errors"
	"io"

	"github.com/jessevdk/go-flags"

	"cowsliptiller/coord/fault"
)

// ErrHelp is returned when help was asked for; the text is already written.
var ErrHelp = errors.New("help was shown")

// Parse reads flags and environment variables and checks them. The error names
// every flag that is wrong, what was given and what is allowed.
func Parse(args []string, help io.Writer) (*Options, error) {
	var o Options
	parser := NewParser(&o)
	if err := parse(parser, args, help); err != nil {
		return nil, err
	}
	if err := Check(&o); err != nil {
		return nil, err
	}
	return &o, nil
}

// parse fills what the parser was made for. Errors: ErrHelp after the help has been
// written, fault.InvalidRequest.
func parse(parser *flags.Parser, args []string, help io.Writer) error {
	rest, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = io.WriteString(help, flagsError.Message+"\n")
		return ErrHelp
	}
	if err != nil {
		return fault.New(fault.InvalidRequest, "%v", err)
	}
	if len(rest) > 0 {
		return fault.New(fault.InvalidRequest, "unexpected argument %q", rest[0])
	}
	return nil
}

// NewParser returns the parser of cowslipd's settings.
func NewParser(o *Options) *flags.Parser {
	parser := flags.NewNamedParser("cowslipd", flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "[run | dev | platform] [settings]"
	parser.LongDescription = "Serves rarely used models. Without a command it runs the roles that --roles names; `dev` runs all of them with a stand-in target on loopback."
	// The only error is a malformed tag, which the tests of this package would show.
	if _, err := parser.AddGroup("Settings", "", o); err != nil {
		panic(err)
	}
	return parser
}
