package settings

import (
	"fmt"
	"strings"
)

// Table returns the settings as a Markdown table, for the operators' page.
func Table() string {
	var b strings.Builder
	b.WriteString("| flag | environment variable | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, group := range NewParser(&Options{}).Groups()[0].Groups() {
		for _, opt := range group.Options() {
			fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s: %s |\n", opt.LongName, opt.EnvDefaultKey,
				strings.Join(opt.Default, ", "), group.ShortDescription, opt.Description)
		}
	}
	return b.String()
}
