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

// readBody reads the whole body, up to the limit.
func (a *api) readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > a.cfg.MaxBody {
		return nil, a.tooLarge()
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, a.cfg.MaxBody+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errSlowBody
	case err != nil:
		return nil, verdict.Refuse(verdict.CodeBadRequest, "body: ended early")
	case int64(len(data)) > a.cfg.MaxBody:
		return nil, a.tooLarge()
	}
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

func describe(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Field + ": want " + wrongType.Type.String() + ", got " + wrongType.Value
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "body: incomplete JSON"
	}
	return "body: " + strings.TrimPrefix(err.Error(), "json: ")
}
