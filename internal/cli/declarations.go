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

// inForce is the configuration that a server reports.
type inForce struct {
	version      uint64
	declarations model.Declarations
}

func fetchConfig(ctx context.Context, c *client.Client) (inForce, error) {
	answer, err := c.Config(ctx)
	if err != nil {
		return inForce{}, err
	}
	f := inForce{version: answer.Version}
	if err := json.Unmarshal(answer.Body(), &f.declarations); err != nil {
		return inForce{}, errors.Wrap(err, "read the configuration")
	}
	return f, nil
}

// loadDeclarations reads declarations files and prints their faults.
func loadDeclarations(name string, files []string, errOut io.Writer) (model.Declarations, bool) {
	if len(files) == 0 {
		usage(errOut, name, errors.New("no file given"))
		return model.Declarations{}, false
	}
	d, faults := declare.Load(files...)
	printFaults(errOut, faults)
	return d, len(faults) == 0
}
