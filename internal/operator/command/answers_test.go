package command_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/command"
)

var _ = Describe("answers", func() {
	// told returns the line of a page with so many results of 4 from position 0 on.
	told := func(second, results int) string {
		return fmt.Sprintf(`{"level":"debug","ts":"2026-12-06T19:00:%02dZ","msg":"answer told","job":"j","asked":"results","after":0,"status":"ok","results":%d,"total":4,"list":"x","age_ms":0}`+"\n", second, results)
	}
	// judge writes the files of two hosts and returns the outcome of the command on them.
	judge := func(first, second string, more ...string) (code int, out, errOut string) {
		dir := GinkgoT().TempDir()
		arguments := append([]string{"answers"}, more...)
		for name, text := range map[string]string{"h-1.log": first, "h-2.log": second} {
			file := filepath.Join(dir, name)
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			arguments = append(arguments, "--lines", file)
		}
		var o, e bytes.Buffer
		code = command.Run(arguments, &o, &e)
		return code, o.String(), e.String()
	}
	const taken = `{"level":"info","ts":"2026-12-06T19:00:09Z","msg":"job taken over","job":"j","listed":2,"total":4}` + "\n"

	It("prints answers that contradict what another host told, and fails", func() {
		code, out, errOut := judge(told(1, 2), told(3, 0)+taken)
		Expect(code).To(Equal(1))
		Expect(out).To(MatchRegexp(`^denied: job j: 2026-12-06T19:00:03.000000Z h-2 told no result at position 0 of 4.*; but 2026-12-06T19:00:01.000000Z h-1 told 2 results.*, 2.0000 s before that was known\n1 contradictions \(1 told over 1s late\)`))
		Expect(errOut).To(ContainSubstring("1 answers contradict other lines"))
	})

	It("succeeds and prints what was judged if there are none", func() {
		code, out, errOut := judge(told(3, 2), told(1, 0)+taken)
		Expect(code).To(BeZero(), errOut)
		Expect(out).To(HavePrefix("0 contradictions (0 told over 1s late); judged: 2 pages, 1 denials of a position"))
	})

	It("allows for clocks that differ", func() {
		code, _, errOut := judge(told(1, 2), told(3, 0)+taken, "--tolerance", "2s")
		Expect(code).To(BeZero(), errOut)
	})
})
