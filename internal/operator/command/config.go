package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/kingcupquay/kingcupquay/internal/operator/routecheck"
	"github.com/kingcupquay/kingcupquay/internal/operator/routes"
	"github.com/kingcupquay/kingcupquay/platform/keyvalue"
	"github.com/kingcupquay/kingcupquay/platform/registry"
)

// configReadTimeout bounds the read of the configuration in force.
const configReadTimeout = 5 * time.Second

// addConfigCommands adds the commands for the configuration on the platform.
func (c *cli) addConfigCommands(app *kingpin.Application, actions map[string]func() error) {
	config := app.Command("config", "Work on the configuration on the platform.")
	check := config.Command("check", "Check a configuration before it is written to the platform's store, and show what it changes.")
	file := check.Arg("file", "JSON file with the configuration.").Required().ExistingFile()
	against := check.Flag("against", "JSON file with the configuration in force, to compare with.").ExistingFile()
	address := check.Flag("store", "Address of the platform's store, IP:PORT, to compare with the configuration in force there.").String()
	check.Flag("output", "Form of the output: table or json.").Default("table").EnumVar(&c.output, "table", "json")
	actions[check.FullCommand()] = func() error { return c.checkConfig(*file, *against, *address) }
}

// configReport is the result of a check.
type configReport struct {
	Version     int64                   `json:"version"`
	Findings    []routecheck.Finding    `json:"findings"`
	InForce     int64                   `json:"in_force,omitempty"`
	Differences []routecheck.Difference `json:"differences"`
}

// checkConfig prints the findings of a configuration. It returns an error if any of them
// is one.
func (c *cli) checkConfig(file, against, address string) error {
	if against != "" && address != "" {
		return trace.BadParameter("name either --against or --store")
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	config, err := registry.ParseConfig(source)
	if err != nil {
		return trace.BadParameter("%s: %v", file, err)
	}
	report := configReport{Version: config.Version(), Findings: routecheck.Check(config), Differences: []routecheck.Difference{}}
	if report.Findings == nil {
		report.Findings = []routecheck.Finding{}
	}
	inForce, err := configInForce(against, address)
	if err != nil {
		return trace.Wrap(err)
	}
	if inForce != nil {
		report.InForce, report.Differences = inForce.Version(), append(report.Differences, routecheck.Compare(inForce, config)...)
	}
	if err := c.printReport(report); err != nil {
		return trace.Wrap(err)
	}
	for _, f := range report.Findings {
		if f.Severity == routecheck.Error {
			return trace.BadParameter("%s: version %d has errors", file, config.Version())
		}
	}
	return nil
}

// configInForce reads the configuration to compare with, nil if there is none.
func configInForce(file, address string) (*routes.Config, error) {
	var source []byte
	switch {
	case file != "":
		var err error
		if source, err = os.ReadFile(file); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
	case address != "":
		client, err := keyvalue.NewClient(address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
		defer cancel()
		e, found, err := client.Get(ctx, registry.ConfigKey)
		if err != nil || !found {
			return nil, err
		}
		source = e.Value
	default:
		return nil, nil
	}
	config, err := registry.ParseConfig(source)
	if err != nil {
		return nil, trace.Wrap(err, "the configuration in force")
	}
	return config, nil
}

func (c *cli) printReport(r configReport) error {
	if c.output == "json" {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(c.out, "%s: %s: %s\n", f.Severity, f.Subject, f.Problem); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintf(c.out, "change: %s: %s\n", d.Subject, d.Change); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(c.out, "version %d: %d findings, %d changes\n", r.Version, len(r.Findings), len(r.Differences))
	return err
}
