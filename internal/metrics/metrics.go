// Package metrics builds metric names and renders a registry in the Prometheus
// text exposition format.
package metrics

import (
	"sort"
	"strings"
)

// Prefix is the prefix of every metric name.
const Prefix = "pollenbend_"

// Label is one dimension of a metric.
type Label struct {
	Name  string
	Value string
}

// Name returns the registry name of a metric: the prefix, base and the labels
// sorted by name.
func Name(base string, labels ...Label) string {
	if len(labels) == 0 {
		return Prefix + base
	}
	sorted := append([]Label(nil), labels...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	var b strings.Builder
	b.WriteString(Prefix + base)
	b.WriteByte('{')
	for i, l := range sorted {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(l.Name + `="` + escape(l.Value) + `"`)
	}
	b.WriteByte('}')
	return b.String()
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escape(value string) string { return escaper.Replace(value) }
