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

// refusal is a wrong call and the answer that it must get.
type refusal struct {
	Name    string            `json:"name"`
	Token   string            `json:"token"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	// Repeat makes the body that many bytes long.
	Repeat int `json:"repeat"`
	// File makes the body a form with that file.
	File    *string `json:"file"`
	Purpose string  `json:"purpose"`
	Status  int     `json:"status"`
	Code    int     `json:"code"`
}

// request builds the wrong call.
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
		body, contentType = form(purpose, *r.File)
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

func form(purpose, file string) (io.Reader, string) {
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

// errorAnswer is the one JSON shape of an error.
type errorAnswer struct {
	Error struct {
		Message   string `json:"message"`
		Code      int    `json:"code"`
		Ran       string `json:"ran"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

var _ = Describe("wrong input", func() {
	It("gets the numbered error that testdata/refusals.json names", func(ctx SpecContext) {
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
			var answer errorAnswer
			Expect(json.Unmarshal(body, &answer)).To(Succeed(), r.Name)
			Expect(answer.Error.Code).To(Equal(r.Code), "%s: %s", r.Name, body)
			Expect(answer.Error.Ran).To(Equal("no"), r.Name)
			Expect(answer.Error.RequestID).To(Equal(resp.Header.Get("X-Request-Id")), r.Name)
		}
		for _, s := range d.Services() {
			Expect(s.Counts()).To(BeEmpty(), "a refused call reached a back end")
		}
	})

	It("loses nothing when an upload is cut off", func(ctx SpecContext) {
		d := start(deployment.SmallOptions())
		address := strings.TrimPrefix(d.URL(0), "http://")
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		body, contentType := form("batch", string(items(20, func(i int) string { return fmt.Sprint(i) })))
		whole, err := io.ReadAll(body)
		Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(conn, "POST /v1/files HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n",
			examples.AgencyCallerToken, contentType, len(whole))
		_, err = conn.Write(whole[:len(whole)/2])
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
		Expect(entries).To(BeEmpty(), "a file that is not whole exists")
		client := clientOf(d, 0)
		batch := submit(ctx, &client, items(5, func(i int) string { return fmt.Sprint(i) }))
		Eventually(statusOf(ctx, &client, batch.ID), patience).Should(Equal("completed"))
	})
})
