package ownership

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fitsVersion treats an empty item as one without output.
func fitsVersion(item, server string) bool { return item == "" || item == server }

var _ = DescribeTable("assigning items to servers of several software versions",
	func(servers, queue, want string) {
		s, q := strings.Split(servers, " "), strings.Split(queue, ",")
		var got []string
		for n, i := range assign(s, q, fitsVersion) {
			got = append(got, s[n]+"="+q[i])
		}
		Expect(strings.Join(got, " ")).To(Equal(want))
	},
	Entry("each goes on where it began", "v1 v2", "v2,v1", "v1=v1 v2=v2"),
	Entry("an item without output leaves the server that another needs", "v1 v2", ",v1", "v1=v1 v2="),
	Entry("an item begins anew rather than leave a slot free", "v2", "v1", "v2=v1"),
	Entry("of two items for one server the more urgent one goes on", "v1 v2", "v1,v1", "v1=v1 v2=v1"),
	Entry("only the most urgent items start", "v1", "v2,v1", "v1=v2"),
)
