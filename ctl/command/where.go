package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"cowsliptiller/coord/fault"
	"cowsliptiller/ctl/client"
	"cowsliptiller/server/gen/operators"
)

// where shows where a request would go now, without sending it.
type where struct {
	base
	Entry     string `long:"entry" required:"yes" description:"Name of the entry host that decides"`
	Workspace string `long:"workspace" description:"Name of the workspace whose key the request would have"`
	Model     string `long:"model" description:"MODEL or MODEL/ADAPTER"`
	Prompt    int64  `long:"prompt-tokens" default:"-1" default-mask:"not stated" description:"Tokens of the prompt"`
	Output    int64  `long:"output-tokens" default:"-1" default-mask:"not stated" description:"The most tokens that may be generated"`
	Request   string `long:"request" description:"Id of the request, which selects the service of a route with several"`
	Prefix    string `long:"prefix" description:"Id of the last part of the prompt's prefix"`
	Limit     int    `long:"limit" default:"20" description:"At most so many candidates in the table; 0: all"`
	Args      struct {
		Route string `positional-arg-name:"HOST/PATH" required:"yes" description:"Host and path of the request"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *where) Execute([]string) error {
	p, err := c.payload()
	if err != nil {
		return err
	}
	hosts, err := c.app.client()
	if err != nil {
		return err
	}
	info, err := client.CallOnce(c.app.ctx, hosts, func(ctx context.Context, o *operators.Client) (*operators.WhereInfo, error) {
		return o.Where(ctx, p)
	})
	if err != nil {
		return err
	}
	return c.app.show(info, "", func(w io.Writer) { c.print(w, info) })
}

// payload checks the arguments. Errors: fault.InvalidRequest.
func (c *where) payload() (*operators.WherePayload, error) {
	host, path, ok := strings.Cut(c.Args.Route, "/")
	if !ok || host == "" {
		return nil, fault.New(fault.InvalidRequest, "HOST/PATH: %q given, allowed: the host of a route, a slash and the path", c.Args.Route)
	}
	if (c.Prompt < 0) != (c.Output < 0) {
		return nil, fault.New(fault.InvalidRequest, "--prompt-tokens and --output-tokens: only one is given, allowed: both, 0 or more, or none")
	}
	return &operators.WherePayload{
		EntryHost: c.Entry, Host: host, Path: "/" + path, Workspace: c.Workspace, Model: c.Model,
		PromptTokens: c.Prompt, OutputTokens: c.Output, RequestID: c.Request, Prefix: c.Prefix,
	}, nil
}

func (c *where) print(w io.Writer, info *operators.WhereInfo) {
	c.printDecision(w, info)
	fmt.Fprintln(w, "\nVERDICT\tTARGET\tDOMAIN\tMODEL\tRUN\tQUEUE\tSLOTS\tOWN\tQUEUED FOR\tLOADED IN\tSPEED\tCIRCUIT\tAGE\tREASONS")
	shown := len(info.Candidates)
	if c.Limit > 0 {
		shown = min(shown, c.Limit)
	}
	for _, t := range info.Candidates[:shown] {
		printCandidate(w, t)
	}
	if more := uint32(len(info.Candidates)-shown) + info.CandidatesOmitted; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}

func (c *where) printDecision(w io.Writer, info *operators.WhereInfo) {
	fmt.Fprintf(w, "%s: %s%s\n", info.EntryHost, info.Outcome, target(info))
	fmt.Fprintf(w, "because: %s\n", info.Reason)
	if info.Outcome == "refuse" {
		fmt.Fprintf(w, "refused: kind %s, Retry-After %s\n", info.Kind, milliseconds(info.RetryAfterMs))
	}
	if info.WaitMs > 0 {
		fmt.Fprintf(w, "expected wait: %s\n", milliseconds(info.WaitMs))
	}
	for _, note := range info.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	fmt.Fprintf(w, "route %s, service %s, model %q, rank %d, contended %t, deployment %d, view %d, target table %s old\n",
		info.Route, info.Service, info.Model, info.Rank, info.Contended, info.DeploymentVersion, info.Revision, milliseconds(info.TableAgeMs))
}

func target(info *operators.WhereInfo) string {
	if info.Target == "" {
		return ""
	}
	return " at " + info.Target
}

func printCandidate(w io.Writer, t *operators.WhereCandidate) {
	age := "-"
	if t.Reported {
		age = milliseconds(t.ReportAgeMs)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.0f%%\t%s\t%s\n", t.Verdict, t.Instance, t.FailureDomain, dash(t.ModelState),
		t.Running, t.Queued, t.Slots, t.InFlight, milliseconds(t.QueueWaitMs), milliseconds(t.LoadForecastMs), speed(t), 100*t.CircuitShare, age,
		strings.Join(t.Reasons, "; "))
}

// speed returns the announced processing time in percent of the usual, or else the measured ratio to the
// other targets.
func speed(t *operators.WhereCandidate) string {
	if t.SpeedPercent > 0 {
		return fmt.Sprintf("%d%%", t.SpeedPercent)
	}
	return fmt.Sprintf("x%.2f", t.SlowdownRatio)
}

func milliseconds(ms uint32) string { return fmt.Sprintf("%dms", ms) }

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
