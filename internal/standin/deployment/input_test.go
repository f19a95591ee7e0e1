package deployment_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"
)

// refusal is an invalid request and the error response expected for it.
type refusal struct {
	Name string `json:"name"`
	// Token is sent as the bearer token: "" stands for the example caller's
	// token, "-" for none.
	Token   string            `json:"token"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	// Repeat, if positive, replaces the body by that many bytes.
	Repeat int `json:"repeat"`
	// File, if set, makes the body a multipart form that uploads this content.
	File    *string `json:"file"`
	Purpose string  `json:"purpose"`
	Status  int     `json:"status"`
	Code    int     `json:"code"`
}

// request builds the invalid request.
func (r *refusal) request(ctx context.Context, url string) *http.Request {
	body := io.Reader(strings.NewReader(r.Body))
	contentType := "application/json"
	if r.Repeat > 0 {
		body = strings.NewReader(strings.Repeat("x", r.Repeat))
	}
	if r.File != nil {
		purpose := r.Purpose
		if purpose == "" {
			purpose = "batch"
		}
		body, contentType = multipartForm(purpose, *r.File)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url+r.Path, body)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Content-Type", contentType)
	for name, value := range r.Headers {
		req.Header.Set(name, value)
	}
	switch r.Token {
	case "":
		req.Header.Set("Authorization", "Bearer "+examples.AgencyCallerToken)
	case "-":
	default:
		req.Header.Set("Authorization", "Bearer "+r.Token)
	}
	return req
}

func multipartForm(purpose, file string) (io.Reader, string) {
	var body bytes.Buffer
	w := multipart.NewWriter(&body)
	Expect(w.WriteField("purpose", purpose)).To(Succeed())
	part, err := w.CreateFormFile("file", "items.jsonl")
	Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(part, file)
	Expect(err).NotTo(HaveOccurred())
	Expect(w.Close()).To(Succeed())
	return &body, w.FormDataContentType()
}

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error struct {
		Message   string `json:"message"`
		Code      int    `json:"code"`
		Ran       string `json:"ran"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

var _ = Describe("invalid input", func() {
	It("gets the status and error code listed in testdata/refusals.json", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		source, err := os.ReadFile("testdata/refusals.json")
		Expect(err).NotTo(HaveOccurred())
		var refusals []refusal
		Expect(json.Unmarshal(source, &refusals)).To(Succeed())
		for i := range refusals {
			r := &refusals[i]
			resp, err := http.DefaultClient.Do(r.request(ctx, d.URL(i%3)))
			Expect(err).NotTo(HaveOccurred(), r.Name)
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred(), r.Name)
			_ = resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(r.Status), "%s: %s", r.Name, body)
			var answer errorBody
			Expect(json.Unmarshal(body, &answer)).To(Succeed(), r.Name)
			Expect(answer.Error.Code).To(Equal(r.Code), "%s: %s", r.Name, body)
			Expect(answer.Error.Ran).To(Equal("no"), r.Name)
			Expect(answer.Error.RequestID).To(Equal(resp.Header.Get("X-Request-Id")), r.Name)
		}
		for _, s := range d.Services() {
			Expect(s.Counts()).To(BeEmpty(), "a refused request reached a backend server")
		}
	})

	It("stores no file when an upload is cut off, and later uploads work", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		address := strings.TrimPrefix(d.URL(0), "http://")
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		body, contentType := multipartForm("batch", string(items(20, func(i int) string { return fmt.Sprint(i) })))
		upload, err := io.ReadAll(body)
		Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(conn, "POST /v1/files HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n",
			examples.AgencyCallerToken, contentType, len(upload))
		_, err = conn.Write(upload[:len(upload)/2])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			answer, _ := io.ReadAll(resp.Body)
			Expect(string(answer)).To(ContainSubstring(`"code":1006`))
		}
		_ = conn.Close()
		entries, _, err := d.KV().Range(ctx, "file/", "file0", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(BeEmpty(), "an incomplete file was stored")
		client := clientOf(d, 0)
		batch := submit(ctx, &client, items(5, func(i int) string { return fmt.Sprint(i) }))
		Eventually(statusOf(ctx, &client, batch.ID), waitTimeout).Should(Equal("completed"))
	})
})
