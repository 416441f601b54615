package cli

import (
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/client"
	"pollenbend/internal/declare"
	"pollenbend/internal/model"
)

// serverConfig is the configuration in force, as a server reports it.
type serverConfig struct {
	version      uint64
	declarations model.Declarations
}

func fetchConfig(ctx context.Context, c *client.Client) (serverConfig, error) {
	answer, err := c.Config(ctx)
	if err != nil {
		return serverConfig{}, err
	}
	config := serverConfig{version: answer.Version}
	if err := json.Unmarshal(answer.Body(), &config.declarations); err != nil {
		return serverConfig{}, errors.Wrap(err, "read the configuration")
	}
	return config, nil
}

// loadDeclarations reads declarations files and prints their faults. It returns
// false if there are any.
func loadDeclarations(name string, files []string, errOut io.Writer) (model.Declarations, bool) {
	if len(files) == 0 {
		usageError(errOut, name, errors.New("no file given"))
		return model.Declarations{}, false
	}
	d, faults := declare.Load(files...)
	printFaults(errOut, faults)
	return d, len(faults) == 0
}
