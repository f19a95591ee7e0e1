package command

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/revision"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
)

// remote adds the flags of a command that calls a host.
func (s *shell) remote(c *kingpin.CmdClause) *kingpin.CmdClause {
	c.Flag("server", "Base address of a host.").Default("http://127.0.0.1:8080").Envar("KINGCUPQUAY_SERVER").StringVar(&s.server)
	c.Flag("token", "Bearer token.").Envar("KINGCUPQUAY_TOKEN").StringVar(&s.token)
	c.Flag("output", "Form of the output: table or json.").Default("table").EnumVar(&s.output, "table", "json")
	return c
}

// addOperatorCommands adds the commands on the services text and the causes.
func (s *shell) addOperatorCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("services", "Work on the services text.")
	check := group.Command("check", "Check a services text without a host.")
	checked := check.Arg("file", "JSON file.").Required().ExistingFile()
	actions[check.FullCommand()] = func() error { return s.checkText(*checked) }

	show := s.remote(group.Command("show", "Print the current services text."))
	actions[show.FullCommand()] = s.showText

	apply := s.remote(group.Command("apply", "Replace the services text."))
	applied := apply.Arg("file", "JSON file.").Required().ExistingFile()
	from := apply.Flag("revision", "Revision that the change was made on.").Required().Int64()
	by := apply.Flag("by", "Name for the audit trail.").String()
	actions[apply.FullCommand()] = func() error { return s.applyText(*applied, *from, *by) }

	history := s.remote(group.Command("history", "Print the audit trail."))
	actions[history.FullCommand()] = s.history

	status := s.remote(group.Command("status", "Print the revision in force by host."))
	actions[status.FullCommand()] = s.status

	why := s.remote(app.Command("why", "Explain what happened to a request, job, item, service, back end or host."))
	subject := why.Arg("id", "Id or name of the subject.").Required().String()
	actions[why.FullCommand()] = func() error { return s.why(*subject) }
}

func (s *shell) checkText(file string) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	text, err := services.Parse(source, 1)
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	fmt.Fprintf(s.out, "valid: %d organisations, %d services, %d back ends\n",
		len(text.Organisations()), len(text.Services()), len(text.Backends()))
	return nil
}

func (s *shell) showText() error {
	var body admin.TextBody
	if err := s.get("/operator/text", &body); err != nil {
		return err
	}
	if s.output == "json" {
		return s.print(body, nil, nil)
	}
	fmt.Fprintf(s.err, "revision %d\n", body.Revision)
	fmt.Fprintln(s.out, strings.TrimRight(body.Source, "\n"))
	return nil
}

func (s *shell) applyText(file string, from int64, by string) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	path := "/operator/text?revision=" + strconv.FormatInt(from, 10) + "&by=" + url.QueryEscape(by)
	if _, err := s.call(http.MethodPut, path, "application/json", bytes.NewReader(source)); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "accepted as revision %d\n", from+1)
	return nil
}

func (s *shell) history() error {
	var list []revision.AuditEntry
	if err := s.get("/operator/history", &list); err != nil {
		return err
	}
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		rows = append(rows, []string{e.At.Format(time.RFC3339), e.By, e.Action, strconv.FormatInt(e.Revision, 10), e.Subject})
	}
	return s.print(list, []string{"AT", "BY", "ACTION", "REVISION", "SUBJECT"}, rows)
}

func (s *shell) status() error {
	var list []admin.HostStatus
	if err := s.get("/operator/status", &list); err != nil {
		return err
	}
	rows := make([][]string, 0, len(list))
	for _, h := range list {
		rows = append(rows, []string{h.Host, h.Zone, strconv.FormatInt(h.Revision, 10), strconv.FormatBool(h.Alive), strconv.FormatBool(h.Leaving)})
	}
	return s.print(list, []string{"HOST", "ZONE", "REVISION", "ALIVE", "LEAVING"}, rows)
}

func (s *shell) why(subject string) error {
	var story admin.Story
	if err := s.get("/operator/why/"+subject, &story); err != nil {
		return err
	}
	if s.output == "json" {
		return s.print(story, nil, nil)
	}
	for _, e := range story.Events {
		fmt.Fprintf(s.out, "%s  %s: %s, because: %s\n", e.At.Format(time.RFC3339Nano), e.Host, e.Kind, e.Cause)
	}
	if len(story.Events) == 0 {
		fmt.Fprintf(s.out, "nothing is known about %s\n", subject)
	}
	for _, missing := range story.Missing {
		fmt.Fprintf(s.out, "could not reach %s\n", missing)
	}
	return nil
}
