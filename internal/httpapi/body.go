package httpapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/verdict"
)

// errSlowBody marks a body that did not arrive within the read timeout.
var errSlowBody = verdict.Refuse(verdict.CodeBadRequest, "body: not received in time")

// errBodiesFull is the refusal of a body when too many bytes of others are held.
var errBodiesFull = verdict.Refuse(verdict.CodeOverloaded, "body: too many bytes held for other requests")

// heldBody counts the bytes that it reads against what the instance holds.
type heldBody struct {
	io.Reader
	a *api
	e *exchange
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.e.held += int64(n)
	if b.a.held.Add(int64(n)) > b.a.cfg.MaxHeld {
		return n, errBodiesFull
	}
	return n, err
}

// readBody reads the whole body, up to the limit. What it reads counts as held
// until the request is answered.
func (a *api) readBody(r *http.Request) ([]byte, error) {
	e := exchangeOf(r)
	e.unread = true
	if r.ContentLength > a.cfg.MaxBody {
		return nil, a.tooLarge()
	}
	body := &heldBody{Reader: r.Body, a: a, e: e}
	data, err := io.ReadAll(io.LimitReader(body, a.cfg.MaxBody+1))
	switch {
	case errors.Is(err, errBodiesFull):
		return nil, errBodiesFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errSlowBody
	case err != nil:
		return nil, verdict.Refuse(verdict.CodeBadRequest, "body: ended early")
	case int64(len(data)) > a.cfg.MaxBody:
		return nil, a.tooLarge()
	}
	e.unread = false
	return data, nil
}

func (a *api) tooLarge() error {
	return verdict.Refuse(verdict.CodeTooLarge, "body: longer than %d bytes", a.cfg.MaxBody)
}

// decodeStrict decodes one JSON document and names the field that is wrong.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s", describe(err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return verdict.Refuse(verdict.CodeBadRequest, "body: more than one JSON document")
	}
	return nil
}

// unknownField starts the message of encoding/json about an unknown field, whose
// error has no type of its own.
const unknownField = "json: unknown field "

func describe(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		field := wrongType.Field
		if field == "" {
			field = "body"
		}
		return field + ": want " + wrongType.Type.String() + ", got " + wrongType.Value
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "body: incomplete JSON"
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		return strings.Trim(name, `"`) + ": unknown field"
	}
	return "body: " + strings.TrimPrefix(err.Error(), "json: ")
}
