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

// addHostFlags adds the flags common to all commands that call a host.
func (c *cli) addHostFlags(clause *kingpin.CmdClause) *kingpin.CmdClause {
	clause.Flag("server", "Base address of a host.").Default("http://127.0.0.1:8080").Envar("KINGCUPQUAY_SERVER").StringVar(&c.server)
	clause.Flag("token", "Bearer token.").Envar("KINGCUPQUAY_TOKEN").StringVar(&c.token)
	clause.Flag("output", "Form of the output: table or json.").Default("table").EnumVar(&c.output, "table", "json")
	return clause
}

// addOperatorCommands adds the commands for the services text and for explaining
// failures.
func (c *cli) addOperatorCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("services", "Work on the services text.")
	check := group.Command("check", "Check a services text without a host.")
	checkFile := check.Arg("file", "JSON file.").Required().ExistingFile()
	actions[check.FullCommand()] = func() error { return c.checkText(*checkFile) }

	show := c.addHostFlags(group.Command("show", "Print the current services text."))
	actions[show.FullCommand()] = c.printText

	apply := c.addHostFlags(group.Command("apply", "Replace the services text."))
	applyFile := apply.Arg("file", "JSON file.").Required().ExistingFile()
	baseRevision := apply.Flag("revision", "Revision that the change was made on.").Required().Int64()
	author := apply.Flag("by", "Name for the audit trail.").String()
	dryRun := apply.Flag("dry-run", "Print difference and effect, change nothing.").Bool()
	actions[apply.FullCommand()] = func() error { return c.applyText(*applyFile, *baseRevision, *author, *dryRun) }

	edit := group.Command("edit", "Print how to edit the services text with an editor of your choice.")
	actions[edit.FullCommand()] = c.printEditGuide

	history := c.addHostFlags(group.Command("history", "Print the audit trail."))
	limit := history.Flag("limit", "Number of lines, latest first.").Default("20").Int()
	actions[history.FullCommand()] = func() error { return c.printHistory(*limit) }

	status := c.addHostFlags(group.Command("status", "Print the revision in force by host."))
	actions[status.FullCommand()] = c.printStatus

	why := c.addHostFlags(app.Command("why", "Explain what happened to a request, job, item, service, back end or host."))
	subject := why.Arg("id", "Id or name of the subject.").Required().String()
	files := why.Flag("lines", "Standard output of a host, to explain by in place of asking the hosts; may be repeated.").ExistingFiles()
	actions[why.FullCommand()] = func() error {
		if len(*files) > 0 {
			return c.explainFromLogs(*subject, *files)
		}
		return c.explain(*subject)
	}
}

func (c *cli) checkText(file string) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	text, err := services.ParseStrict(source, 1)
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	fmt.Fprintf(c.out, "valid: %d organisations, %d services, %d back ends\n",
		len(text.Organisations()), len(text.Services()), len(text.Backends()))
	c.printWarnings(text.Warnings())
	return nil
}

func (c *cli) printText() error {
	var body admin.TextBody
	if err := c.getJSON("/operator/text", &body); err != nil {
		return err
	}
	if c.output == "json" {
		return c.print(body, nil, nil)
	}
	fmt.Fprintf(c.errOut, "revision %d\n", body.Revision)
	fmt.Fprintln(c.out, strings.TrimRight(body.Source, "\n"))
	return nil
}

func (c *cli) printWarnings(warnings services.Problems) {
	for _, w := range warnings {
		fmt.Fprintln(c.out, "warning:", w)
	}
}

// printEditGuide prints the steps of an edit. It opens no editor because the
// program starts no other processes.
func (c *cli) printEditGuide() error {
	fmt.Fprint(c.out, `1. kingcupquay services show > services.json     (prints the revision N on the error output)
2. change services.json with an editor of your choice
3. kingcupquay services check services.json
4. kingcupquay services apply services.json --revision N --dry-run
5. kingcupquay services apply services.json --revision N --by YOUR-NAME
A conflict in step 5 shows both changes: begin again at step 1 with yours.
`)
	return nil
}

func (c *cli) applyText(file string, baseRevision int64, author string, dryRun bool) error {
	source, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	query := url.Values{"revision": {strconv.FormatInt(baseRevision, 10)}, "by": {author}, "dry_run": {strconv.FormatBool(dryRun)}}
	content, err := c.call(http.MethodPut, "/operator/text?"+query.Encode(), "application/json", bytes.NewReader(source))
	if err != nil {
		return err
	}
	var change admin.ChangeBody
	if err := json.Unmarshal(content, &change); err != nil {
		return trace.Wrap(err)
	}
	if c.output == "json" {
		return c.print(change, nil, nil)
	}
	c.printChange(&change)
	return nil
}

func (c *cli) printChange(change *admin.ChangeBody) {
	if change.DryRun {
		fmt.Fprintf(c.out, "would become revision %d\n%s\n", change.Revision, change.Difference)
	} else {
		fmt.Fprintf(c.out, "accepted as revision %d\n", change.Revision)
	}
	for _, sentence := range change.Effect {
		fmt.Fprintln(c.out, "effect:", sentence)
	}
	c.printWarnings(change.Warnings)
}

func (c *cli) printHistory(limit int) error {
	var list []revision.AuditEntry
	if err := c.getJSON("/operator/history?limit="+strconv.Itoa(limit), &list); err != nil {
		return err
	}
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		rows = append(rows, []string{
			e.At.Format(time.RFC3339), e.By, e.Action, revisionRange(e), e.Subject,
			strconv.Itoa(strings.Count(e.Difference, "\n+ ") + strings.Count(e.Difference, "\n- ") + min(1, len(e.Difference))),
		})
	}
	return c.print(list, []string{"AT", "BY", "ACTION", "REVISION", "SUBJECT", "LINES"}, rows)
}

// revisionRange formats the revisions before and after a change; it returns ""
// for an entry without a revision.
func revisionRange(e revision.AuditEntry) string {
	if e.Revision == 0 {
		return ""
	}
	return fmt.Sprintf("%d to %d", e.FromRevision, e.Revision)
}

func (c *cli) printStatus() error {
	var list []admin.HostStatus
	if err := c.getJSON("/operator/status", &list); err != nil {
		return err
	}
	rows := make([][]string, 0, len(list))
	for _, h := range list {
		rows = append(rows, []string{h.Host, h.Zone, strconv.FormatInt(h.Revision, 10), strconv.FormatBool(h.Alive), strconv.FormatBool(h.Leaving)})
	}
	return c.print(list, []string{"HOST", "ZONE", "REVISION", "ALIVE", "LEAVING"}, rows)
}

// explainFromLogs explains a subject from files with the standard output of
// hosts.
func (c *cli) explainFromLogs(subject string, files []string) error {
	var events []cause.Event
	for _, file := range files {
		found, skipped, err := readLines(file)
		if err != nil {
			return err
		}
		if skipped > 0 {
			fmt.Fprintf(c.errOut, "%s: %d lines are not the product's\n", file, skipped)
		}
		events = append(events, found...)
	}
	slices.SortStableFunc(events, func(a, b cause.Event) int { return a.At.Compare(b.At) })
	answer := cause.ExplainLines(subject, events)
	if c.output == "json" {
		return c.print(answer, nil, nil)
	}
	for _, line := range answer.Sentences() {
		fmt.Fprintln(c.out, line)
	}
	return nil
}

// readLines reads the events from a log file and returns the number of lines
// that were skipped. Until a line gives the name of the host, the file's name
// without its extension is used as that name.
func readLines(file string) ([]cause.Event, int, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	return cause.ReadLines(f, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)))
}

// explain prints a host's explanation of what happened to a subject.
func (c *cli) explain(subject string) error {
	var explanation admin.Explanation
	if err := c.getJSON("/operator/why/"+subject, &explanation); err != nil {
		return err
	}
	if c.output == "json" {
		return c.print(explanation, nil, nil)
	}
	for _, line := range explanation.Sentences() {
		fmt.Fprintln(c.out, line)
	}
	for _, missing := range explanation.Missing {
		fmt.Fprintf(c.out, "could not be reached: %s\n", missing)
	}
	return nil
}
