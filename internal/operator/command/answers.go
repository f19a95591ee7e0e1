package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/operator/answers"
)

// addAnswersCommand adds the command that judges what hosts told about jobs.
func (c *cli) addAnswersCommand(app *kingpin.Application, actions map[string]func() error) {
	clause := app.Command("answers", "Judge what hosts told about jobs, by the lines that all of them wrote.")
	files := clause.Flag("lines", "Standard output of a host, or of all, each line with the time in seconds and the host's name before it; may be repeated.").Required().ExistingFiles()
	tolerance := clause.Flag("tolerance", "By how much the clocks of two hosts may differ.").Default("0s").Duration()
	actions[clause.FullCommand()] = func() error {
		judge := answers.Judge{Tolerance: *tolerance}
		for _, file := range *files {
			if err := judgeFile(&judge, file); err != nil {
				return err
			}
		}
		report := judge.Report()
		for _, found := range report.Contradictions {
			fmt.Fprintln(c.out, found)
		}
		fmt.Fprintln(c.out, report.Summary())
		if n := len(report.Contradictions); n > 0 {
			return trace.CompareFailed("%d answers contradict other lines", n)
		}
		return nil
	}
}

// judgeFile adds the lines of a file; the host has the file's name without its extension
// until a line names it.
func judgeFile(judge *answers.Judge, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	return judge.Read(f, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)))
}
