package cli

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"pollenbend/internal/client"
)

// Environment variables that are the defaults of flags.
const (
	envServers = "POLLENBEND_SERVERS"
	envKey     = "POLLENBEND_KEY"
	envKeyFile = "POLLENBEND_KEY_FILE"
)

// remoteFlags holds the flags of the commands that call the HTTP API.
type remoteFlags struct {
	servers []string
	key     string
	keyFile string
	json    bool
}

func (r *remoteFlags) register(sub *flaggy.Subcommand) {
	sub.StringSlice(&r.servers, "s", "server", "base URL of an instance; may be repeated; $"+envServers+" by default")
	sub.String(&r.key, "k", "key", "secret of the caller's key; $"+envKey+" by default")
	sub.String(&r.keyFile, "", "key-file", "file that holds the secret; $"+envKeyFile+" by default")
	sub.Bool(&r.json, "", "json", "print JSON")
}

// allServers returns the servers given by flags or, if there are none, those of the
// environment variable, which are separated by commas or spaces.
func (r *remoteFlags) allServers() []string {
	if len(r.servers) > 0 {
		return r.servers
	}
	return strings.FieldsFunc(os.Getenv(envServers), func(c rune) bool { return c == ',' || c == ' ' })
}

// secret returns the secret of the caller's key, or an empty string if none is
// given.
func (r *remoteFlags) secret() (string, error) {
	file := r.keyFile
	switch {
	case r.key != "" && file != "":
		return "", errors.New("give --key or --key-file, not both")
	case r.key != "":
		return r.key, nil
	case file == "" && os.Getenv(envKey) != "":
		return os.Getenv(envKey), nil
	case file == "":
		file = os.Getenv(envKeyFile)
	}
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read the key")
	}
	return strings.TrimSpace(string(data)), nil
}

// client returns a client that uses all servers.
func (r *remoteFlags) client() (*client.Client, error) { return r.newClient(r.allServers()...) }

func (r *remoteFlags) newClient(servers ...string) (*client.Client, error) {
	if len(servers) == 0 {
		return nil, errors.Newf("no server given: use --server URL or set %s", envServers)
	}
	secret, err := r.secret()
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{Servers: servers, Key: secret})
}
