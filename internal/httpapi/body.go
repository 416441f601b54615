package httpapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/intake"
	"pollenbend/internal/verdict"
)

// errBodyTimeout is the refusal of a body that did not arrive within the read
// timeout.
var errBodyTimeout = verdict.Refuse(verdict.CodeBadRequest, "body: not received in time")

// errBodyMemoryFull is the refusal of a body that the instance has no memory for beside
// other requests.
var errBodyMemoryFull = verdict.Refuse(verdict.CodeOverloaded, "body: too many bytes held for other requests")

// errDecodersBusy is the refusal of a large body that had to wait for others to be decoded until
// the caller left or the longest timeout was over.
var errDecodersBusy = verdict.Refuse(verdict.CodeOverloaded, "body: other large bodies are decoded")

// readBody reads the whole body, at most Config.MaxBodyBytes bytes. Its memory counts as
// held until the request is answered.
func (a *api) readBody(r *http.Request) (data []byte, err error) {
	e := exchangeOf(r)
	e.bodyUnread = true
	if data, err = intake.ReadBody(e, r, a.cfg.MaxBodyBytes); err != nil {
		return nil, a.refuseBody(err)
	}
	e.bodyUnread = false
	return data, nil
}

// discardBody reads the whole body, at most Config.MaxBodyBytes bytes, and drops it.
func (a *api) discardBody(r *http.Request) error {
	e := exchangeOf(r)
	e.bodyUnread = true
	if err := intake.Discard(e, r, a.cfg.MaxBodyBytes); err != nil {
		return a.refuseBody(err)
	}
	e.bodyUnread = false
	return nil
}

// refuseBody returns the refusal of a body that could not be read because of err.
func (a *api) refuseBody(err error) error {
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		return errBodyMemoryFull
	case errors.Is(err, intake.ErrTooLarge):
		return a.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTimeout
	}
	return verdict.Refuse(verdict.CodeBadRequest, "body: ended early")
}

func (a *api) tooLarge() error {
	return verdict.Refuse(verdict.CodeTooLarge, "body: longer than %d bytes", a.cfg.MaxBodyBytes)
}

// elementBytes is about what an element of a list or a field of an object takes when it has
// been decoded, with the lists that it outgrows.
const elementBytes = 200

// decodedBytes returns about how many bytes the JSON in data takes beside its texts when it has
// been decoded. The payload of a call stays as it is.
func decodedBytes(data []byte) int64 {
	var elements int64
	var text []byte // the last string
	depth, inPayload := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '"':
			end := intake.StringEnd(data, i)
			text = data[i:end]
			i = end - 1
		case ':':
			inPayload = inPayload || depth == 1 && string(text) == `"payload"`
		case ']', '}':
			depth--
		case '[', '{', ',':
			if c != ',' {
				depth++
			} else if depth == 1 {
				inPayload = false
			}
			if !inPayload {
				elements++
			}
		}
	}
	return elements * elementBytes
}

// decodeStrict decodes exactly one JSON document without unknown fields. The error
// names the invalid field.
func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s", describeDecodeError(err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return verdict.Refuse(verdict.CodeBadRequest, "body: more than one JSON document")
	}
	return nil
}

// unknownFieldPrefix starts the message of encoding/json about an unknown field;
// that error has no type of its own.
const unknownFieldPrefix = "json: unknown field "

// describeDecodeError returns the message for an error of encoding/json.
func describeDecodeError(err error) string {
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
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return strings.Trim(name, `"`) + ": unknown field"
	}
	return "body: " + strings.TrimPrefix(err.Error(), "json: ")
}
