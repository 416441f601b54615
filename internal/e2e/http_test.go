package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/client"
	apiwire "pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

const refill = `{"queue": "dublin", "service": "refill-prompt", "payload": "refill due", "timeout": "20s"}`

// post sends body unchanged as a request and returns the status and the answer.
func post(t *testing.T, url, key, id string, body io.Reader) (int, apiwire.Answer) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/v1/requests", body)
	require.NoError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set(apiwire.HeaderIdempotencyKey, id)
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	return decode(t, res)
}

func decode(t *testing.T, res *http.Response) (int, apiwire.Answer) {
	t.Helper()
	defer res.Body.Close()
	var a apiwire.Answer
	require.NoError(t, json.NewDecoder(res.Body).Decode(&a))
	return res.StatusCode, a
}

// TestRefusalsByHTTP sends requests with a caller's mistake to every instance. Each must
// be refused with its code and the verdict "not run", and no worker may start a task.
func TestRefusalsByHTTP(t *testing.T) {
	c := startCell(t, "guild", 3)
	c.apply()
	key := c.example.Secret("dublin-desk")
	const tenMiB = 10 << 20
	tests := []struct {
		id, key, body string
		status        int
		code          verdict.Code
	}{
		{"wrong-key", "pb_wrong", refill, http.StatusUnauthorized, verdict.CodeUnauthorized},
		{"no-key", "", refill, http.StatusUnauthorized, verdict.CodeUnauthorized},
		{"other-team", c.example.Secret("cork-desk"), refill, http.StatusForbidden, verdict.CodeForbidden},
		{"large", key, `{"queue": "dublin", "payload": "` + strings.Repeat("x", tenMiB) + `"}`, http.StatusRequestEntityTooLarge, verdict.CodeTooLarge},
		{"unknown-field", key, `{"queue": "dublin", "urgency": 1}`, http.StatusBadRequest, verdict.CodeBadRequest},
		{"half-json", key, refill[:20], http.StatusBadRequest, verdict.CodeBadRequest},
		{"unknown-queue", key, `{"queue": "nowhere", "service": "refill-prompt"}`, http.StatusNotFound, verdict.CodeNotFound},
		{"unknown-service", key, `{"queue": "dublin", "service": "nothing"}`, http.StatusNotFound, verdict.CodeNotFound},
	}
	for _, url := range c.http {
		for _, tt := range tests {
			status, a := post(t, url, tt.key, tt.id, strings.NewReader(tt.body))
			require.Equal(t, tt.status, status, tt.id+": "+a.Message)
			require.Equal(t, tt.code, a.Code, tt.id)
			require.Equal(t, verdict.NotRun, a.Verdict, tt.id)
		}
	}
	require.Empty(t, c.starts())
	status, a := post(t, c.http["entry-1"], key, "sound", strings.NewReader(refill))
	require.Equal(t, http.StatusOK, status, a.Message)
	require.Equal(t, map[model.TaskID]int{model.TaskIDOf("dublin-salons", "sound", 0): 1}, c.starts())
}

// TestHalfSentBody sends part of a body, then either closes the connection or waits for
// the answer. Neither may start a task, and the instance must still serve requests.
func TestHalfSentBody(t *testing.T) {
	c := startCell(t, "guild", 3)
	c.apply()
	key := c.example.Secret("dublin-desk")
	half := fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		key, len(refill), refill[:len(refill)/2])
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.http["entry-1"], "http://"))
		require.NoError(t, err)
		_, err = io.WriteString(conn, half)
		require.NoError(t, err)
		return conn
	}
	require.NoError(t, dial().Close())
	conn := dial()
	defer conn.Close()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	status, a := decode(t, res)
	require.Equal(t, http.StatusRequestTimeout, status)
	require.Equal(t, verdict.NotRun, a.Verdict)
	require.Empty(t, c.starts())
	status, a = post(t, c.http["entry-1"], key, "after", bytes.NewReader([]byte(refill)))
	require.Equal(t, http.StatusOK, status, a.Message)
}

// TestWithdrawnKey withdraws a key at one instance. Every instance must soon refuse the
// key, and must not accept it again.
func TestWithdrawnKey(t *testing.T) {
	c := startCell(t, "guild", 3)
	c.apply()
	key := c.example.Secret("cork-desk")
	prompt := strings.Replace(refill, "dublin", "cork", 1)
	for id, url := range c.http {
		c.await("the key at "+id, func() bool {
			status, _ := post(t, url, key, "before-"+id, strings.NewReader(prompt))
			return status == http.StatusOK
		})
	}
	operator := c.client(c.example.OperatorSecret(), "entry-1")
	config, err := operator.Config(context.Background())
	require.NoError(t, err)
	_, err = operator.Apply(context.Background(), model.Change{
		Base: config.Version, Delete: []model.ObjectRef{{Kind: model.ObjectKey, Name: "cork-desk"}},
	})
	require.NoError(t, err)
	accepted := time.Now()
	for id, url := range c.http {
		tries := 0
		c.await("the refusal at "+id, func() bool {
			tries++
			status, _ := post(t, url, key, fmt.Sprintf("after-%s-%d", id, tries), strings.NewReader(prompt))
			return status == http.StatusUnauthorized
		})
		status, a := post(t, url, key, "last-"+id, strings.NewReader(prompt))
		require.Equal(t, http.StatusUnauthorized, status)
		require.Equal(t, verdict.NotRun, a.Verdict)
	}
	t.Logf("refused everywhere %s after the change was accepted", time.Since(accepted).Round(time.Millisecond))
}

// TestLogOutage makes the log unavailable. Calls must still be served. Jobs and changes
// must be refused, without the verdict "done". When the log is available again, the same
// ids must be accepted.
func TestLogOutage(t *testing.T) {
	c := startCell(t, "guild", 3)
	c.apply()
	desk, operator := c.client(c.example.Secret("dublin-desk")), c.client(c.example.OperatorSecret())
	ctx := context.Background()
	config, err := operator.Config(ctx)
	require.NoError(t, err)
	change := model.Change{ID: "c-1", Base: config.Version, Put: model.Declarations{Teams: []model.Team{{Name: "new-salons", Share: 1}}}}
	job := apiwire.Job{Queue: "dublin", Service: "cleansing-reminder", Kind: model.KindBatch, Count: 2}

	c.fault(`{"log": {"down": true}}`)
	_, err = desk.Call(ctx, apiwire.Call{Queue: "dublin", Service: "refill-prompt", Timeout: "20s"}, client.Identity{})
	require.NoError(t, err, "a call needs no log")
	_, err = desk.Submit(ctx, job, client.Identity{IdempotencyKey: "j-1"})
	require.Contains(t, []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun}, verdict.Of(err))
	_, err = operator.Apply(ctx, change)
	require.Contains(t, []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun}, verdict.Of(err))

	c.fault(`{"log": {}}`)
	c.await("the job", func() bool {
		answer, err := desk.Submit(ctx, job, client.Identity{IdempotencyKey: "j-1"})
		return err == nil && (answer.Verdict == verdict.Pending || answer.Verdict == verdict.Done)
	})
	c.await("the change", func() bool {
		_, err := operator.Apply(ctx, change)
		return err == nil
	})
	c.await("the change in force at every instance", func() bool { return c.declaredEverywhere("new-salons") })
}

// declaredEverywhere reports whether the declarations of every instance contain name.
func (c *cell) declaredEverywhere(name string) bool {
	for _, id := range c.ids() {
		config, err := c.client(c.example.OperatorSecret(), id).Config(context.Background())
		if err != nil || !strings.Contains(string(config.Body()), name) {
			return false
		}
	}
	return true
}

// fault sets the faults that the stand-ins inject.
func (c *cell) fault(body string) {
	c.t.Helper()
	res, err := http.Post(c.url+"/fault", "application/json", strings.NewReader(body))
	require.NoError(c.t, err)
	_ = res.Body.Close()
	require.Equal(c.t, http.StatusOK, res.StatusCode)
}
