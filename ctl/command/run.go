package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cowsliptiller/coord/fault"
	"cowsliptiller/ctl/client"
	"cowsliptiller/server/gen/operators"
)

// The exit codes.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

// Global settings hold for every command.
type Global struct {
	Control   []string `long:"control" env:"COWSLIP_OPERATOR_ADDRESSES" env-delim:"," description:"IP:port of a control host's operator listener; give it once for each"`
	TokenFile string   `long:"token-file" env:"COWSLIP_OPERATOR_TOKEN_FILE" description:"File with the operators' token"`
	Actor     string   `long:"actor" env:"USER" default:"operator" description:"Who asks, for the audit trail"`
	JSON      bool     `long:"json" description:"Print JSON"`
}

// app is what every command needs.
type app struct {
	Global
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

// the one app of a run; go-flags calls Execute without a context.
type base struct {
	app *app
}

// client returns the operators' client.
func (a *app) client() (*client.Client, error) {
	if len(a.Control) == 0 {
		return nil, fault.New(fault.InvalidRequest, "--control: none given, allowed: IP:port of a control host's operator listener")
	}
	if a.TokenFile == "" {
		return nil, fault.New(fault.InvalidRequest, "--token-file: none given, allowed: a file with the operators' token")
	}
	token, err := client.ReadToken(a.TokenFile)
	if err != nil {
		return nil, err
	}
	return client.New(a.Control, token, a.Actor), nil
}

// call runs one operators' call.
func call[T any](a *app, do func(context.Context, *operators.Client) (T, error)) (T, error) {
	c, err := a.client()
	if err != nil {
		var zero T
		return zero, err
	}
	return client.Call(a.ctx, c, do)
}

// show prints v as JSON, or as the table that rows write.
func (a *app) show(v any, header string, rows func(w io.Writer)) error {
	if a.JSON {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	tw := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if header != "" {
		fmt.Fprintln(tw, strings.ReplaceAll(header, " ", "\t"))
	}
	rows(tw)
	return tw.Flush()
}

// Run runs one command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{ctx: ctx, out: out, errOut: errOut}
	_, err := newParser(a).ParseArgs(args)
	if err == nil {
		return ExitDone
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		return usage(flagsError, out, errOut)
	}
	fmt.Fprintln(errOut, "cowslipctl:", err)
	return exitCode(err)
}

func usage(err *flags.Error, out, errOut io.Writer) int {
	if err.Type == flags.ErrHelp {
		fmt.Fprintln(out, err.Message)
		return ExitDone
	}
	fmt.Fprintln(errOut, "cowslipctl:", err.Message)
	return ExitUsage
}

func exitCode(err error) int {
	switch fault.From(err).Kind {
	case fault.Conflict:
		return ExitConflict
	case fault.Unavailable, fault.NoQuorum, fault.NotLeader:
		return ExitUnreachable
	}
	return ExitFailed
}

func newParser(a *app) *flags.Parser {
	parser := flags.NewNamedParser("cowslipctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operates cowsliptiller. Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict with another change, 4 no control host reached."
	must(parser.AddGroup("Operator", "", &a.Global))
	group := func(name, short string) *flags.Command {
		return must(parser.AddCommand(name, short, short, &struct{}{}))
	}
	add := func(to *flags.Command, name, short string, command any) {
		must(to.AddCommand(name, short, short, command))
	}
	b := base{a}
	q := group("questionnaire", "Check, submit and show questionnaires")
	add(q, "check", "Check a questionnaire without sending it", &questionnaireCheck{base: b})
	add(q, "submit", "Submit a questionnaire in place of a revision", &questionnaireSubmit{base: b})
	add(q, "show", "Show the questionnaire in force", &questionnaireShow{base: b})
	add(group("config", "The generated configuration"), "show", "Show the generated configuration and where it is in force", &configShow{base: b})
	k := group("key", "Give, withdraw and list keys")
	add(k, "give", "Give a workspace a key; the secret is shown once", &keyGive{base: b})
	add(k, "withdraw", "Withdraw a key; returns once no entry host accepts it", &keyWithdraw{base: b})
	add(k, "list", "List keys", &keyList{base: b})
	h := group("host", "List, drain and forget hosts")
	add(h, "list", "List hosts", &hostList{base: b})
	add(h, "drain", "Mark a host as leaving", &hostDrain{base: b})
	add(h, "forget", "Forget a host that is gone for good", &hostForget{base: b})
	d := group("domain", "Take failure domains out of service")
	add(d, "evacuate", "Take a failure domain's targets out of service; returns once no entry host sends to them", &domainEvacuate{base: b})
	add(d, "list", "List failure domains that are evacuated or were", &domainList{base: b})
	add(group("replica", "Replica decisions"), "list", "List replica decisions", &replicaList{base: b})
	m := group("member", "Add and remove control processes")
	add(m, "add", "Add a control process; it votes once it has caught up", &memberAdd{base: b})
	add(m, "remove", "Remove a control process", &memberRemove{base: b})
	must(parser.AddCommand("status", "Show how the control processes stand", "", &status{base: b}))
	must(parser.AddCommand("audit", "Read the audit trail", "", &audit{base: b}))
	must(parser.AddCommand("backup", "Save a snapshot of the replicated state", "", &backup{base: b}))
	must(parser.AddCommand("load", "Send seeded open-loop load to entry hosts on loopback", "", &loadCommand{base: b}))
	must(parser.AddCommand("experiment", "Compare the decisions under load with plain baselines", "", &experimentCommand{base: b}))
	must(parser.AddCommand("losses", "Sum up by reason what ended unserved in the logs of a fleet", "", &lossesCommand{base: b}))
	must(parser.AddCommand("explain", "Find what decided a request in the logs of a fleet", "", &explainCommand{base: b}))
	must(parser.AddCommand("where", "Show where a request would go now, from the view of an entry host, without sending it", "", &where{base: b}))
	must(parser.AddCommand("standin", "Run a stand-in target", "", &standin{base: b}))
	return parser
}

// must ends the program at a malformed command declaration, which any run shows.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
