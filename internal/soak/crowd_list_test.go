package soak

import (
	"bytes"
	"strings"
	"time"
)

// unfinishedKinds are the crowds whose requests never end.
func unfinishedKinds() []crowdKind {
	lines, same := oddLines(headerRoom), repeatedLines()
	body := padded(crowdBodyBytes)
	inChunks, inBytes := chunked(body[:len(body)-1], chunkBytes, ""), chunked(body[:len(body)-1], 1, "")
	return []crowdKind{
		{name: "header-lines-then-endless-body", do: func(v *visit) {
			if v.send(post(v.client), lines, []byte(lengthLine(crowdBodyBytes)), blank) {
				v.trickle(" ")
			}
		}},
		{name: "endless-header", do: func(v *visit) {
			if v.send(post(v.client), lines) {
				v.trickle("a")
			}
		}},
		{name: "one-name-repeated", do: func(v *visit) {
			if v.send(post(v.client), same, []byte(lengthLine(crowdBodyBytes)), blank) {
				v.trickle(" ")
			}
		}},
		{name: "long-request-line", do: func(v *visit) {
			path := "/q/" + strings.Repeat("a", requestLineBytes)
			if v.send(head("POST", path), []byte(lengthLine(crowdBodyBytes)), blank) {
				v.trickle(" ")
			}
		}},
		{name: "body-one-byte-short", do: short(body)},
		{name: "more-bodies-than-connections", clients: 2 * crowdClients, do: short(body)},
		{name: "body-in-pieces", do: func(v *visit) {
			ok := v.send(post(v.client), []byte(lengthLine(len(body))), blank)
			for rest := body[:len(body)-1]; ok && len(rest) > 0; rest = rest[min(pieceBytes, len(rest)):] {
				ok = v.send(rest[:min(pieceBytes, len(rest))])
				time.Sleep(piecePause)
			}
			if ok {
				v.hold()
			}
		}},
		{name: "large-chunks", do: shortChunked(inChunks)},
		{name: "chunks-of-one-byte", do: shortChunked(inBytes)},
		{name: "chunk-extensions", do: shortChunked(chunked(body[:len(body)-1], chunkBytes, ";a="+strings.Repeat("b", 1_000)))},
		{name: "trailers", do: func(v *visit) {
			encoded := append(bytes.Clone(inChunks), chunked(body[len(body)-1:], 1, "")...)
			if v.send(post(v.client), []byte("Trailer: a\r\n"+chunkedLine), blank, encoded, []byte("0\r\n"), lines) {
				v.trickle("a")
			}
		}},
	}
}

// finishedKinds are the crowds whose requests are whole.
func finishedKinds() []crowdKind {
	return []crowdKind{
		{name: "valid-padded", do: whole(padded(crowdBodyBytes))},
		{name: "valid-with-long-label", do: whole(labeled(labeledBytes))},
		{name: "many-steps", do: whole(manySteps())},
		{name: "many-dependencies", do: whole(listed(crowdBodyBytes, `{"spec":"p","steps":[{"count":1,"cpu":1,"dependsOn":[`, "0,", `]}]}`))},
		{name: "unknown-field", do: whole(listed(crowdBodyBytes, `{"spec":"p","`, "a", `":1}`))},
		{name: "long-query", do: func(v *visit) {
			v.repeat(head("GET", "/q/?a="+strings.Repeat("a", requestLineBytes)), blank)
		}},
		{name: "pipelined-unread", do: func(v *visit) {
			some := bytes.Repeat(append(head("GET", "/q/"), blank...), pipelinedRequests)
			for v.send(some) {
			}
		}},
	}
}

// crowdKinds are the crowds at a single instance.
func crowdKinds() []crowdKind {
	unfinished := unfinishedKinds()
	kinds := append(unfinished, finishedKinds()...)
	kinds = append(kinds,
		crowdKind{name: "mixed", do: func(v *visit) { unfinished[v.client%len(unfinished)].do(v) }},
		crowdKind{name: "silent", clients: 4 * crowdClients, do: (*visit).hold})
	kinds = append(kinds, elsewhereKinds()...)
	for i := range kinds {
		if kinds[i].clients == 0 {
			kinds[i].clients = crowdClients
		}
	}
	return kinds
}

// elsewhereKinds are the crowds at the addresses of the readiness checks and of the metrics.
func elsewhereKinds() []crowdKind {
	ready := func(in *instance) string { return in.ready }
	metrics := func(in *instance) string { return in.metrics }
	lines := oddLines(headerRoom)
	explained := padded(maxExplainedBytes)
	body := padded(crowdBodyBytes)
	return []crowdKind{
		{name: "ready-lines-and-body", address: ready, do: func(v *visit) {
			if v.send(head("GET", "/-/ready"), lines, []byte(lengthLine(crowdBodyBytes)), blank, body[:len(body)-1]) {
				v.hold()
			}
		}},
		{name: "ready-open-header", address: ready, do: func(v *visit) {
			if v.send(head("GET", "/-/ready"), lines) {
				v.trickle("a")
			}
		}},
		{name: "metrics-lines", address: metrics, do: func(v *visit) {
			v.repeat(head("GET", "/metrics"), lines, blank)
		}},
		{name: "metrics-open-header", address: metrics, do: func(v *visit) {
			if v.send(head("GET", "/metrics"), lines) {
				v.trickle("a")
			}
		}},
		{name: "metrics-without-reading", address: metrics, do: func(v *visit) {
			some := bytes.Repeat(append(head("GET", "/metrics"), blank...), pipelinedRequests)
			for v.send(some) {
			}
		}},
		{name: "explain-stopped-body", address: metrics, do: func(v *visit) {
			if v.send(head("POST", "/explain?queue=q&team=t"), []byte(lengthLine(len(explained))), blank, explained[:len(explained)-1]) {
				v.hold()
			}
		}},
		{name: "explain-steps", address: metrics, do: func(v *visit) {
			b := manySteps()
			v.repeat(head("POST", "/explain?queue=q&team=t"), []byte(lengthLine(len(b))), blank, b)
		}},
	}
}

// maxExplainedBytes is the maximum size of a job that an operator asks about.
const maxExplainedBytes = 1 << 20

// forwardedKinds are the crowds whose submissions reach the leader.
func forwardedKinds() []crowdKind {
	return []crowdKind{
		{name: "padded", clients: crowdClients, do: whole(padded(crowdBodyBytes))},
		{name: "long-label", clients: crowdClients, do: whole(labeled(labeledBytes))},
		{name: "stopped-body", clients: crowdClients, do: short(padded(crowdBodyBytes))},
	}
}
