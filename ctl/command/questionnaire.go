package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/gen/operators"
)

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type questionnaireCheck struct {
	base
	Args fileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *questionnaireCheck) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	q, err := config.Parse(text)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.out, "%s: %d models, %d adapters, %d targets, %d workspaces\n",
		q.Deployment, len(q.Models), len(q.Adapters), len(q.Targets), len(q.Workspaces))
	return nil
}

type questionnaireSubmit struct {
	base
	Replaces     uint64  `long:"replaces" description:"Configuration revision that this one replaces; 0 for the first" required:"yes"`
	SubmissionID string  `long:"submission-id" description:"Id of this submission; sending it again under the same id changes nothing twice. Made and shown when not given"`
	Args         fileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *questionnaireSubmit) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	if c.SubmissionID == "" {
		c.SubmissionID = uuid.NewString()
		fmt.Fprintln(c.app.errOut, "submission id:", c.SubmissionID)
	}
	outcome, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.SubmissionOutcome, error) {
		return o.Submit(ctx, &operators.SubmitPayload{Questionnaire: string(text), ReplacesRevision: c.Replaces, SubmissionID: c.SubmissionID})
	})
	if err != nil {
		return err
	}
	return c.app.show(outcome, "", func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d\n", outcome.Revision)
	})
}

func configuration(a *app) (*operators.ConfigurationInfo, error) {
	return call(a, func(ctx context.Context, o *operators.Client) (*operators.ConfigurationInfo, error) {
		return o.Configuration(ctx, &operators.ConfigurationPayload{})
	})
}

type questionnaireShow struct{ base }

// Execute implements flags.Commander.
func (c *questionnaireShow) Execute([]string) error {
	info, err := configuration(c.app)
	if err != nil {
		return err
	}
	return c.app.show(info, "", func(w io.Writer) {
		fmt.Fprintf(w, "# revision %d\n%s", info.Revision, info.Questionnaire)
	})
}

type configShow struct{ base }

// Execute implements flags.Commander.
func (c *configShow) Execute([]string) error {
	info, err := configuration(c.app)
	if err != nil {
		return err
	}
	return c.app.show(info, "", func(w io.Writer) {
		fmt.Fprintf(w, "%s\n\nrevision %d\n\nHOST\tROLE\tCONFIGURATION\tSTATE\tSEEN MS AGO\n", info.Generated, info.Revision)
		for _, f := range info.InForce {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", f.Host, f.Role, f.ConfigurationRevision, f.Revision, f.SeenMsAgo)
		}
	})
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "%v", err)
	}
	return text, nil
}
