package command

import "cowsliptiller/ctl/experiment"

type experimentCommand struct {
	base
	experiment.Command
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute(args []string) error {
	c.Out, c.JSON = c.app.out, c.app.JSON
	return c.Command.Execute(args)
}
