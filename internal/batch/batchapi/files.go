package batchapi

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"mime"
	"mime/multipart"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/google/uuid"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/batch/item"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/serving/call"
)

const (
	maxFieldBytes = 4096
	purposeBatch  = "batch"
	// uploadBytes is what an upload holds of a file: a line in the buffer of a scanner,
	// which doubles, and a chunk.
	uploadBytes = 2 << 20
)

// fileBody is the response that describes a file.
type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileBody(m chunk.Manifest) fileBody {
	return fileBody{
		ID: m.ID, Object: "file", Bytes: m.Bytes, CreatedAt: m.Created.Unix(),
		Filename: m.Name, Purpose: m.Purpose, Status: "processed",
	}
}

// uploadFile stores a batch file while it is received, with at most one chunk in
// memory.
func (a *API) uploadFile(ctx context.Context, c *call.Call) *result.Error {
	mediaType, params, err := mime.ParseMediaType(string(c.HTTP().ContentType()))
	if err != nil || mediaType != "multipart/form-data" {
		return result.New(result.InvalidHeader, "a file is uploaded as multipart/form-data")
	}
	if c.HTTP().Request.Header.ContentLength() > chunk.MaxFileBytes+(64<<10) {
		return result.New(result.BodyTooLarge, "file is over %d bytes", chunk.MaxFileBytes)
	}
	body, failure := c.StreamBody(uploadBytes)
	if failure != nil {
		return failure
	}
	u := &upload{api: a, call: c, purpose: purposeBatch}
	reader := multipart.NewReader(body, params["boundary"])
	for {
		part, err := reader.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return result.New(result.TruncatedUpload, "%v", err)
		}
		if failure := u.handlePart(ctx, part); failure != nil {
			return failure
		}
	}
	return u.finish(ctx)
}

// upload is a file upload in progress. writer is nil until the file part begins.
type upload struct {
	api     *API
	call    *call.Call
	purpose string
	writer  *chunk.Writer
}

// handlePart handles one part of the form. Parts other than purpose and file are
// ignored.
func (u *upload) handlePart(ctx context.Context, part *multipart.Part) *result.Error {
	switch part.FormName() {
	case "purpose":
		value, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
		if err != nil {
			return result.New(result.TruncatedUpload, "%v", err)
		}
		if u.purpose = string(value); u.purpose != purposeBatch {
			return result.New(result.InvalidField, `purpose must be "batch"`)
		}
	case "file":
		return u.storeFile(ctx, part)
	}
	return nil
}

// storeFile validates and stores the lines of the file part.
func (u *upload) storeFile(ctx context.Context, part *multipart.Part) *result.Error {
	u.writer = chunk.NewWriter(u.api.options.Store, chunk.Manifest{
		ID: "file-" + uuid.NewString(), Organisation: u.call.Organisation().Name, Name: part.FileName(),
		Purpose: purposeBatch, Created: u.call.Now(),
	})
	customIDs := make(map[[16]byte]struct{})
	scanner := bufio.NewScanner(part)
	scanner.Buffer(make([]byte, 0, 64<<10), chunk.MaxLineBytes+1)
	lineNumber := 0
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		lineNumber++
		if failure := u.addLine(ctx, line, lineNumber, customIDs); failure != nil {
			return failure
		}
	}
	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return result.New(result.InvalidItem, "line %d is longer than %d bytes", lineNumber+1, chunk.MaxLineBytes)
	case err != nil:
		return result.New(result.TruncatedUpload, "upload ended after line %d: %v", lineNumber, err)
	case lineNumber == 0:
		return result.New(result.InvalidField, "file has no lines")
	}
	return nil
}

// addLine validates and stores one line. customIDs holds truncated hashes of the
// custom_ids of the earlier lines.
func (u *upload) addLine(ctx context.Context, line []byte, lineNumber int, customIDs map[[16]byte]struct{}) *result.Error {
	i, failure := item.Parse(line, lineNumber)
	if failure != nil {
		return failure
	}
	sum := sha256.Sum256([]byte(i.CustomID()))
	digest := [16]byte(sum[:16])
	if _, ok := customIDs[digest]; ok {
		return result.New(result.DuplicateCustomID, "line %d: custom_id %q stands twice", lineNumber, i.CustomID())
	}
	customIDs[digest] = struct{}{}
	return u.writer.Add(ctx, line)
}

// finish completes the file and answers the call.
func (u *upload) finish(ctx context.Context) *result.Error {
	if u.writer == nil {
		return result.New(result.InvalidField, "the form has no part named file")
	}
	manifest, failure := u.writer.Close(ctx)
	if failure != nil {
		return failure
	}
	return u.call.WriteJSON(newFileBody(manifest))
}

// getFile answers with the description of an uploaded file or of an output or
// error file of a job.
func (a *API) getFile(ctx context.Context, c *call.Call) *result.Error {
	m, _, failure := a.openFile(ctx, c)
	if failure != nil {
		return failure
	}
	return c.WriteJSON(newFileBody(m))
}

// openFile returns the manifest and ID of a file of the caller's organisation. The
// manifest of an output or error file is derived from the job's record.
func (a *API) openFile(ctx context.Context, c *call.Call) (chunk.Manifest, string, *result.Error) {
	id := c.HTTP().Param("id")
	jobID, isOutput := strings.CutSuffix(id, "-output")
	jobID, isErrors := strings.CutSuffix(jobID, "-errors")
	var m chunk.Manifest
	if isOutput || isErrors {
		record, failure := a.options.Jobs.Act(ctx, job.ActionGet, jobID, nil)
		if failure != nil {
			return m, "", failure
		}
		m = chunk.Manifest{ID: id, Organisation: record.Organisation, Name: id + ".jsonl", Purpose: "batch_output", Created: record.Created}
		m.Chunks, m.Bytes = record.OutputChunks, record.OutputBytes
		if isErrors {
			m.Chunks, m.Bytes = record.ErrorChunks, record.ErrorBytes
		}
	} else {
		var failure *result.Error
		if m, failure = chunk.Open(ctx, a.options.Store, id); failure != nil {
			return m, "", failure
		}
	}
	if m.Organisation != c.Organisation().Name {
		return m, "", result.New(result.NotFound, "no file %s", id)
	}
	return m, id, nil
}

// fileContent sends a file chunk by chunk. If a chunk can't be read, it closes the
// connection, so that the caller detects the incomplete response.
func (a *API) fileContent(ctx context.Context, c *call.Call) *result.Error {
	m, id, failure := a.openFile(ctx, c)
	if failure != nil {
		return failure
	}
	c.HTTP().SetStatusCode(http.StatusOK)
	c.HTTP().Response.Header.SetContentType("application/jsonl")
	c.HTTP().Response.HijackWriter(resp.NewChunkedBodyWriter(&c.HTTP().Response, c.HTTP().GetWriter()))
	for number := range m.Chunks {
		lines, failure := chunk.Read(ctx, a.options.Store, chunk.Key(id, number))
		if failure != nil {
			a.options.Note("file cut short", failure.Error(), id)
			c.HTTP().Response.Header.SetConnectionClose(true)
			_ = c.HTTP().GetConn().Close()
			return nil
		}
		if _, err := c.HTTP().Write(lines); err != nil {
			return nil
		}
		if err := c.HTTP().Flush(); err != nil {
			return nil
		}
	}
	return nil
}
