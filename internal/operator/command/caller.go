package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// addJobCommands adds the commands for jobs and recorded requests.
func (c *cli) addJobCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("job", "Work on batch jobs.")
	submit := c.addHostFlags(group.Command("submit", "Upload a JSONL file and start a job on it."))
	file := submit.Arg("file", "JSONL file.").Required().ExistingFile()
	endpoint := submit.Flag("endpoint", "Endpoint of the items.").Default("/v1/chat/completions").String()
	window := submit.Flag("window", "Completion window.").Default("24h").String()
	actions[submit.FullCommand()] = func() error { return c.submit(*file, *endpoint, *window) }

	list := c.addHostFlags(group.Command("list", "List the organisation's jobs."))
	actions[list.FullCommand()] = c.printJobs

	status := c.addHostFlags(group.Command("status", "Print a job."))
	statusID := status.Arg("id", "Job id.").Required().String()
	actions[status.FullCommand()] = func() error { return c.showJob(http.MethodGet, "/v1/batches/"+*statusID) }

	results := c.addHostFlags(group.Command("results", "Print a job's results, then its failed items."))
	resultsID := results.Arg("id", "Job id.").Required().String()
	actions[results.FullCommand()] = func() error { return c.printResults(*resultsID) }

	cancel := c.addHostFlags(group.Command("cancel", "Cancel a job."))
	cancelID := cancel.Arg("id", "Job id.").Required().String()
	actions[cancel.FullCommand()] = func() error { return c.showJob(http.MethodPost, "/v1/batches/"+*cancelID+"/cancel") }

	requests := app.Command("request", "Work on recorded requests.")
	show := c.addHostFlags(requests.Command("show", "Print the record of a request."))
	key := show.Arg("key", "Idempotency key or request id.").Required().String()
	actions[show.FullCommand()] = func() error { return c.printResponse("/v1/requests/" + *key) }
}

// jobBody is a job as returned by the host's HTTP interface.
type jobBody struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id,omitempty"`
	ErrorFileID   string `json:"error_file_id,omitempty"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
	Cause string `json:"cause,omitempty"`
}

func (j *jobBody) row() []string {
	return []string{
		j.ID, j.Status, strconv.Itoa(j.RequestCounts.Total), strconv.Itoa(j.RequestCounts.Completed),
		strconv.Itoa(j.RequestCounts.Failed), j.Cause,
	}
}

var jobHeader = []string{"JOB", "STATUS", "TOTAL", "COMPLETED", "FAILED", "CAUSE"}

func (c *cli) submit(file, endpoint, window string) error {
	id, err := c.upload(file)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]string{"input_file_id": id, "endpoint": endpoint, "completion_window": window})
	if err != nil {
		return trace.Wrap(err)
	}
	content, err := c.call(http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return c.printJob(content)
}

// upload streams a file to the host and returns the id that the host assigned.
func (c *cli) upload(file string) (string, error) {
	source, err := os.Open(file)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer func() { _ = source.Close() }()
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() { writer.CloseWithError(writeForm(form, filepath.Base(file), source)) }()
	content, err := c.call(http.MethodPost, "/v1/files", form.FormDataContentType(), reader)
	if err != nil {
		return "", err
	}
	var body struct {
		ID string `json:"id"`
	}
	return body.ID, trace.Wrap(json.Unmarshal(content, &body))
}

func writeForm(form *multipart.Writer, name string, source io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, source); err != nil {
		return err
	}
	return form.Close()
}

func (c *cli) showJob(method, path string) error {
	content, err := c.call(method, path, "", nil)
	if err != nil {
		return err
	}
	return c.printJob(content)
}

func (c *cli) printJob(content []byte) error {
	var j jobBody
	if err := json.Unmarshal(content, &j); err != nil {
		return trace.Wrap(err)
	}
	return c.print(json.RawMessage(content), jobHeader, [][]string{j.row()})
}

func (c *cli) printJobs() error {
	var page struct {
		Data []jobBody `json:"data"`
	}
	if err := c.getJSON("/v1/batches?limit=100", &page); err != nil {
		return err
	}
	var rows [][]string
	for i := range page.Data {
		rows = append(rows, page.Data[i].row())
	}
	return c.print(page.Data, jobHeader, rows)
}

func (c *cli) printResults(id string) error {
	var j jobBody
	if err := c.getJSON("/v1/batches/"+id, &j); err != nil {
		return err
	}
	for _, file := range []string{j.OutputFileID, j.ErrorFileID} {
		if file == "" {
			continue
		}
		if err := c.printResponse("/v1/files/" + file + "/content"); err != nil {
			return err
		}
	}
	return nil
}

// printResponse prints the response body of a GET call without formatting it.
func (c *cli) printResponse(path string) error {
	content, err := c.call(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, string(bytes.TrimRight(content, "\n")))
	return trace.Wrap(err)
}
