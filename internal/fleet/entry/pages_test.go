package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/batch/jobstate"
	"github.com/kingcupquay/kingcupquay/internal/batch/ownership"
	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

var _ = Describe("a read of results that is passed on to their owner", func() {
	const head = "HTTP/1.1 200 OK\r\nDate: x\r\n"
	const listed = 2
	framed := func(body string) string { return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	chunked := func(body string) string {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	unframed := func(body string) string { return head + "\r\n" + body }
	results := make([]jobstate.Result, listed)
	for i := range results {
		results[i] = jobstate.Result{ID: fmt.Sprint("i", i), Done: true, Text: []byte("text")}
	}
	text, err := json.Marshal(ownership.ResultPage{Total: 3, Next: listed, Results: results})
	if err != nil {
		panic(err)
	}
	page := string(text)

	var h *Host
	var kv *platform.KV
	var starts atomic.Int64
	// answerWith makes the owner, host B, answer each call with a text.
	answerWith := func(answer string) {
		h.members.Apply(h.timer.Now(), notice.Notice{Member: notice.Member{Host: "B", Zone: "a", Address: serveOnce(answer), Start: starts.Add(1)}})
	}
	// addJob stores a job that B owns, with listed of 3 results.
	addJob := func(id string) {
		GinkgoHelper()
		record := jobstate.Record{ID: id, Route: "r", Host: "a.example", Owner: "B", Serial: 1, Writer: "B/1", Total: 3, Listed: listed, ResultParts: 1, Accepted: h.timer.Now()}
		value, err := record.Encode()
		Expect(err).NotTo(HaveOccurred())
		parts, err := jobstate.SplitResults(results)
		Expect(err).NotTo(HaveOccurred())
		_, err = kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: jobstate.RecordKey(id), Value: value}, {Key: jobstate.ResultKey(id, 0), Value: parts[0]}}})
		Expect(err).NotTo(HaveOccurred())
	}
	var clock *timer.Manual
	BeforeEach(func() {
		clock = timer.NewManual(time.Unix(1000, 0))
		kv = platform.NewKV(clock)
		h = New(&setup.Entry{Name: "A", Zone: "a"}, logr.Discard(), clock, Adapter{Store: kv})
	})
	// expectShown expects the results at a host whose peers answer with a text, and, if
	// neither its peers nor the store answer, no page without results.
	expectShown := func(id, answer string, after int) {
		GinkgoHelper()
		answerWith(answer)
		addJob(id)
		got, failure := h.jobs.Results(context.Background(), id, after, 0, true)
		Expect(failure).To(BeNil(), "%q", answer)
		Expect(got.Results).To(HaveLen(listed-after), "%q", answer)
		Expect(got.Results[0].ID).To(Equal(results[after].ID))
	}

	// Guards against a page that is cut, empty or of an earlier build, and is taken for
	// one without results.
	DescribeTable("shows the results of the store if the owner's answer is", func(answer string) {
		for after := range listed {
			expectShown(fmt.Sprint("j", after), answer, after)
		}
	},
		Entry("empty", framed("")),
		Entry("empty, in chunks", head+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		Entry("empty, without a length", unframed("")),
		Entry("a page without a length", unframed(page)),
		Entry("half a page without a length", unframed(page[:len(page)/2])),
		Entry("an object without fields", framed("{}")),
		Entry("null", framed("null")),
		Entry("a list", framed("[]")),
		Entry("a page without results of an earlier build", framed(`{"total":3,"next":0,"results":null}`)),
		Entry("the same, with an empty list", framed(`{"total":3,"next":0,"results":[]}`)),
		Entry("the same, in chunks", chunked(`{"total":3,"next":0,"results":null}`)),
		Entry("the same, unconfirmed", framed(`{"total":3,"next":0,"results":null,"confirmed":false}`)),
		Entry("a page without results, with a field of a later build", framed(`{"total":3,"next":0,"results":null,"proved":true}`)),
		Entry("a failure that can't be read", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"),
		Entry("no content", "HTTP/1.1 204 No Content\r\n\r\n"),
		Entry("a failure without a code", "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"),
		Entry("a part of a page", "HTTP/1.1 206 Partial Content\r\nContent-Length: 2\r\n\r\n{}"),
	)

	// Guards against a host that stops in the middle of its answer.
	DescribeTable("shows the results if the owner stops at any byte of its answer,", func(answer string) {
		for n := range len(answer) + 1 {
			expectShown(fmt.Sprint("j", n), answer[:n], 0)
		}
	},
		Entry("with a length", framed(page)),
		Entry("in chunks", chunked(page)),
	)

	// Guards against a page whose text was cut before it was framed.
	It("shows the results if the text of the page is cut at any byte", func() {
		for n := range len(page) {
			expectShown(fmt.Sprint("j", n), framed(page[:n]), 0)
		}
	})

	// Guards against an unreadable answer that becomes a page while the store is away.
	DescribeTable("is refused while the store is away and the owner's answer is", func(answer string) {
		addJob("j")
		h.jobs.LearnOwner("B", []string{"j"})
		answerWith(answer)
		kv.SetFaults(func(string) platform.Fault { return platform.Refuse })
		for after := range listed {
			_, failure := h.jobs.Results(context.Background(), "j", after, 0, true)
			Expect(failure).NotTo(BeNil())
		}
	},
		Entry("empty", framed("")),
		Entry("without a length", unframed(page)),
		Entry("cut", framed(page)[:len(framed(page))-1]),
		Entry("cut before it was framed", framed(page[:len(page)/2])),
		Entry("an object without fields", framed("{}")),
		Entry("a page without results of an earlier build", framed(`{"total":3,"next":0,"results":null}`)),
		Entry("a failure that can't be read", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"),
	)

	It("passes on a page without results that the owner confirms", func() {
		addJob("j")
		answerWith(framed(`{"total":3,"next":2,"results":null,"confirmed":true}`))
		got, failure := h.jobs.Results(context.Background(), "j", listed, 0, true)
		Expect(failure).To(BeNil())
		Expect(got.Results).To(BeEmpty())
		Expect(strings.Contains(page, "confirmed")).To(BeFalse())
	})

	// Guards against the time of a page that gets lost between the hosts.
	DescribeTable("asks the store about a page without results that took the owner a second,", func(known string, asked bool) {
		addJob("j")
		h.jobs.LearnOwner("B", []string{"j"})
		owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			clock.Advance(time.Second)
			_, _ = io.WriteString(w, `{"total":3,"next":2,"results":null,"confirmed":true`+known+`}`)
		}))
		DeferCleanup(owner.Close)
		h.members.Apply(h.timer.Now(), notice.Notice{Member: notice.Member{Host: "B", Zone: "a", Address: owner.Listener.Addr().String(), Start: starts.Add(1)}})
		var calls atomic.Int64
		kv.SetFaults(func(string) platform.Fault {
			calls.Add(1)
			return platform.NoFault
		})
		h.TellResults(context.Background(), "j", listed, 0, encodePage, func(text []byte, failure *result.Error) {
			Expect(failure).To(BeNil())
			Expect(string(text)).To(ContainSubstring(`"results":null`))
		})
		Expect(calls.Load() > 0).To(Equal(asked))
	},
		Entry("if the owner says nothing of when it knew", "", true),
		Entry("if it knew at the start", `,"known_after_ms":400`, true),
		Entry("not if it knew at the end", `,"known_after_ms":900`, false),
	)
})
