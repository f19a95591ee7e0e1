package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"
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
	dryRun := apply.Flag("dry-run", "Print difference and effect, change nothing.").Bool()
	actions[apply.FullCommand()] = func() error { return s.applyText(*applied, *from, *by, *dryRun) }

	edit := group.Command("edit", "Print how to edit the services text with an editor of your choice.")
	actions[edit.FullCommand()] = s.editText

	history := s.remote(group.Command("history", "Print the audit trail."))
	limit := history.Flag("limit", "Number of lines, latest first.").Default("20").Int()
	actions[history.FullCommand()] = func() error { return s.history(*limit) }

	status := s.remote(group.Command("status", "Print the revision in force by host."))
	actions[status.FullCommand()] = s.status

	why := s.remote(app.Command("why", "Explain what happened to a request, job, item, service, back end or host."))
	subject := why.Arg("id", "Id or name of the subject.").Required().String()
	files := why.Flag("lines", "Standard output of a host, to explain by in place of asking the hosts; may be repeated.").ExistingFiles()
	actions[why.FullCommand()] = func() error {
		if len(*files) > 0 {
			return s.whyByLines(*subject, *files)
		}
		return s.why(*subject)
	}
}

func (s *shell) checkText(file string) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	text, err := services.ParseStrict(source, 1)
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	fmt.Fprintf(s.out, "valid: %d organisations, %d services, %d back ends\n",
		len(text.Organisations()), len(text.Services()), len(text.Backends()))
	s.printWarnings(text.Warnings())
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

func (s *shell) printWarnings(warnings services.Problems) {
	for _, w := range warnings {
		fmt.Fprintln(s.out, "warning:", w)
	}
}

// editText explains instead of opening an editor: a process starts no other.
func (s *shell) editText() error {
	fmt.Fprint(s.out, `1. kingcupquay services show > services.json     (prints the revision N on the error output)
2. change services.json with an editor of your choice
3. kingcupquay services check services.json
4. kingcupquay services apply services.json --revision N --dry-run
5. kingcupquay services apply services.json --revision N --by YOUR-NAME
A conflict in step 5 shows both changes: begin again at step 1 with yours.
`)
	return nil
}

func (s *shell) applyText(file string, from int64, by string, dryRun bool) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	query := url.Values{"revision": {strconv.FormatInt(from, 10)}, "by": {by}, "dry_run": {strconv.FormatBool(dryRun)}}
	answer, err := s.call(http.MethodPut, "/operator/text?"+query.Encode(), "application/json", bytes.NewReader(source))
	if err != nil {
		return err
	}
	var change admin.ChangeBody
	if err := json.Unmarshal(answer, &change); err != nil {
		return trace.Wrap(err)
	}
	if s.output == "json" {
		return s.print(change, nil, nil)
	}
	s.printChange(&change)
	return nil
}

func (s *shell) printChange(change *admin.ChangeBody) {
	if change.DryRun {
		fmt.Fprintf(s.out, "would become revision %d\n%s\n", change.Revision, change.Difference)
	} else {
		fmt.Fprintf(s.out, "accepted as revision %d\n", change.Revision)
	}
	for _, sentence := range change.Effect {
		fmt.Fprintln(s.out, "effect:", sentence)
	}
	s.printWarnings(change.Warnings)
}

func (s *shell) history(limit int) error {
	var list []revision.AuditEntry
	if err := s.get("/operator/history?limit="+strconv.Itoa(limit), &list); err != nil {
		return err
	}
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		rows = append(rows, []string{
			e.At.Format(time.RFC3339), e.By, e.Action, revisions(e), e.Subject,
			strconv.Itoa(strings.Count(e.Difference, "\n+ ") + strings.Count(e.Difference, "\n- ") + min(1, len(e.Difference))),
		})
	}
	return s.print(list, []string{"AT", "BY", "ACTION", "REVISION", "SUBJECT", "LINES"}, rows)
}

// revisions shows what a change led from and to.
func revisions(e revision.AuditEntry) string {
	if e.Revision == 0 {
		return ""
	}
	return fmt.Sprintf("%d to %d", e.FromRevision, e.Revision)
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

// whyByLines explains by what hosts wrote to their standard output.
func (s *shell) whyByLines(subject string, files []string) error {
	var events []cause.Event
	for _, file := range files {
		found, others, err := readLines(file)
		if err != nil {
			return err
		}
		if others > 0 {
			fmt.Fprintf(s.err, "%s: %d lines are not the product's\n", file, others)
		}
		events = append(events, found...)
	}
	slices.SortStableFunc(events, func(a, b cause.Event) int { return a.At.Compare(b.At) })
	answer := cause.ExplainLines(subject, events)
	if s.output == "json" {
		return s.print(answer, nil, nil)
	}
	for _, line := range answer.Sentences() {
		fmt.Fprintln(s.out, line)
	}
	return nil
}

func readLines(file string) ([]cause.Event, int, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	return cause.ReadLines(f, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)))
}

func (s *shell) why(subject string) error {
	var story admin.Story
	if err := s.get("/operator/why/"+subject, &story); err != nil {
		return err
	}
	if s.output == "json" {
		return s.print(story, nil, nil)
	}
	for _, line := range story.Sentences() {
		fmt.Fprintln(s.out, line)
	}
	for _, missing := range story.Missing {
		fmt.Fprintf(s.out, "could not be reached: %s\n", missing)
	}
	return nil
}
