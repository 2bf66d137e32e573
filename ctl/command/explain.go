package command

import (
	"os"

	"cowsliptiller/coord/fault"
	"cowsliptiller/ctl/explain"
)

// explainCommand finds what decided a request in the logs of a fleet.
type explainCommand struct {
	base
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes" description:"The request's id"`
		Logs    []string `positional-arg-name:"LOG" required:"1" description:"Files with the processes' lines; - reads standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	all, err := readLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	decided, err := explain.Of(c.Args.Request, all)
	if err != nil {
		return err
	}
	return explain.Print(c.app.out, c.Args.Request, decided)
}

func readLogs(names []string) ([]explain.Line, error) {
	var all []explain.Line
	for _, name := range names {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]explain.Line, error) {
	if name == "-" {
		lines, _, err := explain.Read(os.Stdin)
		return lines, err
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "log: %v", err)
	}
	defer f.Close()
	lines, _, err := explain.Read(f)
	return lines, err
}
