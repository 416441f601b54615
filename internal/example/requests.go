package example

import (
	"fmt"

	"pollenbend/internal/declare"
	"pollenbend/internal/tomlfile"
)

// Request is one request that an example sends. Key is the name of a declared key;
// it is empty for an open queue.
type Request struct {
	Queue   string `toml:"queue"`
	Service string `toml:"service"`
	Payload string `toml:"payload"`
	Key     string `toml:"key"`
}

type requestsFile struct {
	Requests []Request `toml:"request"`
}

// ParseRequests parses the requests of an example. Faults refer to the file as name.
func ParseRequests(name string, data []byte) ([]Request, []declare.Fault) {
	r := tomlfile.Decode(name, data, func() requestsFile { return requestsFile{} })
	c := r.Check(name)
	for i, q := range r.Value.Requests {
		path := fmt.Sprintf("request[%d]", i)
		c.Require(q.Queue != "", path+".queue", "expected the name of a queue")
		c.Require(q.Service != "", path+".service", "expected the name of a service")
	}
	return r.Value.Requests, c.Faults()
}
