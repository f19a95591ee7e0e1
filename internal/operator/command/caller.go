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

// addCallerCommands adds the commands on jobs and requests.
func (s *shell) addCallerCommands(app *kingpin.Application, actions map[string]func() error) {
	group := app.Command("job", "Work on batch jobs.")
	submit := s.remote(group.Command("submit", "Upload a JSONL file and start a job on it."))
	file := submit.Arg("file", "JSONL file.").Required().ExistingFile()
	endpoint := submit.Flag("endpoint", "Endpoint of the items.").Default("/v1/chat/completions").String()
	window := submit.Flag("window", "Completion window.").Default("24h").String()
	actions[submit.FullCommand()] = func() error { return s.submit(*file, *endpoint, *window) }

	list := s.remote(group.Command("list", "List the organisation's jobs."))
	actions[list.FullCommand()] = s.listJobs

	status := s.remote(group.Command("status", "Print a job."))
	statusID := status.Arg("id", "Job id.").Required().String()
	actions[status.FullCommand()] = func() error { return s.showJob(http.MethodGet, "/v1/batches/"+*statusID) }

	results := s.remote(group.Command("results", "Print a job's results, then its failed items."))
	resultsID := results.Arg("id", "Job id.").Required().String()
	actions[results.FullCommand()] = func() error { return s.results(*resultsID) }

	cancel := s.remote(group.Command("cancel", "Cancel a job."))
	cancelID := cancel.Arg("id", "Job id.").Required().String()
	actions[cancel.FullCommand()] = func() error { return s.showJob(http.MethodPost, "/v1/batches/"+*cancelID+"/cancel") }

	requests := app.Command("request", "Work on recorded requests.")
	show := s.remote(requests.Command("show", "Print the record of a request."))
	key := show.Arg("key", "Idempotency key or request id.").Required().String()
	actions[show.FullCommand()] = func() error { return s.raw("/v1/requests/" + *key) }
}

// jobBody is a job as the HTTP face shows it.
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

func (s *shell) submit(file, endpoint, window string) error {
	id, err := s.upload(file)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]string{"input_file_id": id, "endpoint": endpoint, "completion_window": window})
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := s.call(http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return s.printJob(answer)
}

// upload streams a file to the host and returns its id.
func (s *shell) upload(file string) (string, error) {
	source, err := os.Open(file)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer func() { _ = source.Close() }()
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() { writer.CloseWithError(writeForm(form, filepath.Base(file), source)) }()
	answer, err := s.call(http.MethodPost, "/v1/files", form.FormDataContentType(), reader)
	if err != nil {
		return "", err
	}
	var body struct {
		ID string `json:"id"`
	}
	return body.ID, trace.Wrap(json.Unmarshal(answer, &body))
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

func (s *shell) showJob(method, path string) error {
	answer, err := s.call(method, path, "", nil)
	if err != nil {
		return err
	}
	return s.printJob(answer)
}

func (s *shell) printJob(answer []byte) error {
	var j jobBody
	if err := json.Unmarshal(answer, &j); err != nil {
		return trace.Wrap(err)
	}
	return s.print(json.RawMessage(answer), jobHeader, [][]string{j.row()})
}

func (s *shell) listJobs() error {
	var page struct {
		Data []jobBody `json:"data"`
	}
	if err := s.get("/v1/batches?limit=100", &page); err != nil {
		return err
	}
	var rows [][]string
	for i := range page.Data {
		rows = append(rows, page.Data[i].row())
	}
	return s.print(page.Data, jobHeader, rows)
}

func (s *shell) results(id string) error {
	var j jobBody
	if err := s.get("/v1/batches/"+id, &j); err != nil {
		return err
	}
	for _, file := range []string{j.OutputFileID, j.ErrorFileID} {
		if file == "" {
			continue
		}
		if err := s.raw("/v1/files/" + file + "/content"); err != nil {
			return err
		}
	}
	return nil
}

// raw prints the answer as it is.
func (s *shell) raw(path string) error {
	answer, err := s.call(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, string(bytes.TrimRight(answer, "\n")))
	return trace.Wrap(err)
}
