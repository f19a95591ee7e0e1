package command

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
)

// addQuarantineCommands adds the commands for quarantined request bodies.
func (c *cli) addQuarantineCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("quarantine", "Work on request bodies that crashed servers.")
	list := c.addHostFlags(group.Command("list", "Print the suspects and the condemned."))
	actions[list.FullCommand()] = c.printQuarantine

	lift := c.addHostFlags(group.Command("lift", "Let a request body run again."))
	fingerprint := lift.Arg("fingerprint", "Fingerprint as printed by list.").Required().String()
	actions[lift.FullCommand()] = func() error { return c.liftQuarantine(*fingerprint) }
}

func (c *cli) printQuarantine() error {
	var list []admin.QuarantinedBody
	if err := c.getJSON("/operator/quarantine", &list); err != nil {
		return err
	}
	rows := make([][]string, 0, len(list))
	for _, b := range list {
		rows = append(rows, []string{b.Fingerprint, b.State, b.Service, strings.Join(b.Servers, ","), b.Until.Format(time.RFC3339)})
	}
	return c.print(list, []string{"FINGERPRINT", "STATE", "SERVICE", "SERVERS", "UNTIL"}, rows)
}

func (c *cli) liftQuarantine(fingerprint string) error {
	if _, err := c.call(http.MethodDelete, "/operator/quarantine/"+url.PathEscape(fingerprint), "", nil); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "lifted %s\n", fingerprint)
	return nil
}
