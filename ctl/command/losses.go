package command

import "cowsliptiller/ctl/explain"

// lossesCommand sums up by reason what ended unserved in the logs of a fleet.
type lossesCommand struct {
	base
	Args struct {
		Logs []string `positional-arg-name:"LOG" required:"1" description:"Files with the processes' lines; - reads standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	lines, err := readLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	return explain.PrintLosses(c.app.out, explain.Losses(lines))
}
