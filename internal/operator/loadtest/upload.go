package loadtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// UploadOptions are the size of the uploaded file and the host to upload it to.
type UploadOptions struct {
	Server string
	Token  string
	Items  int
	// ItemBytes is the length of each prompt.
	ItemBytes int
}

// Upload is the time and host memory that uploading a file and downloading it
// again took.
type Upload struct {
	Bytes        int64   `json:"bytes"`
	Seconds      float64 `json:"seconds"`
	ReadBytes    int64   `json:"read_bytes"`
	ReadSeconds  float64 `json:"read_seconds"`
	MemoryBefore float64 `json:"memory_before_mb"`
	MemoryPeak   float64 `json:"memory_peak_mb"`
}

// MeasureUpload streams a batch file to a host, downloads it again, and reads the
// memory used from the host's metrics.
func MeasureUpload(ctx context.Context, o UploadOptions) (Upload, error) {
	c := newClient(o.Server, o.Token, "")
	var u Upload
	var err error
	if u.MemoryBefore, err = c.metricMB(ctx, "process_resident_memory_bytes"); err != nil {
		return u, err
	}
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() { writer.CloseWithError(writeItems(form, o)) }()
	counted := &countingReader{reader: reader}
	begin := time.Now()
	var file struct {
		ID string `json:"id"`
	}
	if err := c.call(ctx, http.MethodPost, "/v1/files", form.FormDataContentType(), counted, &file); err != nil {
		return u, err
	}
	u.Bytes, u.Seconds = counted.n, time.Since(begin).Seconds()
	begin = time.Now()
	resp, err := c.send(ctx, http.MethodGet, "/v1/files/"+file.ID+"/content", "", nil)
	if err != nil {
		return u, err
	}
	defer func() { _ = resp.Body.Close() }()
	if u.ReadBytes, err = io.Copy(io.Discard, resp.Body); err != nil {
		return u, trace.Wrap(err)
	}
	u.ReadSeconds = time.Since(begin).Seconds()
	u.MemoryPeak, err = c.metricMB(ctx, "process_resident_memory_peak_bytes")
	return u, err
}

// writeItems writes an upload form with a file of distinct lines that compress
// poorly.
func writeItems(form *multipart.Writer, o UploadOptions) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return err
	}
	out := bufio.NewWriter(part)
	state := uint64(1)
	for i := range o.Items {
		var prompt strings.Builder
		for prompt.Len() < o.ItemBytes {
			state = state*6364136223846793005 + 1442695040888963407
			fmt.Fprintf(&prompt, "%x ", state>>16)
		}
		fmt.Fprintf(out, `{"custom_id":"i%d","method":"POST","url":"/v1/chat/completions","body":{"model":"route-summaries","messages":[{"role":"user","content":%q}]}}`+"\n",
			i, prompt.String())
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return form.Close()
}

// metricMB reads a metric of the host that is in bytes and converts it to MiB.
func (c *client) metricMB(ctx context.Context, name string) (float64, error) {
	value, err := c.metric(ctx, name)
	return value / (1 << 20), err
}

// metric reads the value of a metric from the host's metrics page.
func (c *client) metric(ctx context.Context, name string) (float64, error) {
	resp, err := c.send(ctx, http.MethodGet, "/metrics", "", nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		var value float64
		if _, err := fmt.Sscanf(scanner.Text(), name+" %g", &value); err == nil {
			return value, nil
		}
	}
	return 0, trace.NotFound("host has no metric %s", name)
}

// countingReader counts the bytes read through it.
type countingReader struct {
	reader io.Reader
	n      int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.n += int64(n)
	return n, err
}
