package command_test

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/command"
	"github.com/kingcupquay/kingcupquay/internal/operator/examples"
)

var _ = DescribeTable("services check without a host", func(source string, exit int, printed string) {
	file := filepath.Join(GinkgoT().TempDir(), "services.json")
	Expect(os.WriteFile(file, []byte(source), 0o600)).To(Succeed())
	var out, errOut bytes.Buffer
	Expect(command.Run([]string{"services", "check", file}, &out, &errOut)).To(Equal(exit))
	Expect(out.String() + errOut.String()).To(ContainSubstring(printed))
},
	Entry("accepts the Agency's text", string(examples.Agency), 0, "valid: 2 organisations, 5 services, 15 back ends\n"),
	Entry("accepts Wielwerk's text", string(examples.Wielwerk), 0, "valid: 2 organisations, 5 services, 15 back ends\n"),
	Entry("prints warnings", `{}`, 0, "warning: line 1: organisations: no organisation is an operator"),
	Entry("names line, field and remedy", "{\n\"services\": [\n{\"nam\": \"a\"}]}", 2,
		"line 3: services[0].nam: unknown field; remove it or correct its name, as in name"),
)

var _ = Describe("services edit", func() {
	It("prints the steps of an edit", func() {
		var out, errOut bytes.Buffer
		Expect(command.Run([]string{"services", "edit"}, &out, &errOut)).To(Equal(0))
		Expect(out.String()).To(ContainSubstring("services apply services.json --revision N"))
	})
})
