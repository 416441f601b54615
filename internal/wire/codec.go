package wire

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// kind identifies the type of an encoded record or message.
type kind uint8

// Kinds of records. The values of all kinds are part of the encoding and must never
// change.
const (
	kindClaim kind = iota + 1
	kindHandover
	kindConfigChange
	kindJobAccepted
	kindJobProgress
	kindJobCanceled
	kindSnapshot
)

// Kinds of messages begin at 64, so that they differ from those of records.
const (
	kindHeartbeat kind = iota + 64
	kindCoverage
	kindGrant
	kindForward
	kindReply
	kindDispatch
	kindTaskState
	kindLocate
	kindLocated
	kindCancelTask
	kindFetchLog
	kindLogEntries
	kindFetchCoverage
	kindKeysWithdrawn
	kindFetchSnapshot
	kindSnapshotState
	kindMemory
	kindMemoryKept
	kindHoldTasks
	kindHeld
	kindReleaseHolds
)

func (Claim) recordKind() kind        { return kindClaim }
func (Handover) recordKind() kind     { return kindHandover }
func (ConfigChange) recordKind() kind { return kindConfigChange }
func (JobAccepted) recordKind() kind  { return kindJobAccepted }
func (JobProgress) recordKind() kind  { return kindJobProgress }
func (JobCanceled) recordKind() kind  { return kindJobCanceled }
func (Snapshot) recordKind() kind     { return kindSnapshot }

func (Heartbeat) messageKind() kind     { return kindHeartbeat }
func (Coverage) messageKind() kind      { return kindCoverage }
func (Grant) messageKind() kind         { return kindGrant }
func (Forward) messageKind() kind       { return kindForward }
func (Reply) messageKind() kind         { return kindReply }
func (Dispatch) messageKind() kind      { return kindDispatch }
func (TaskState) messageKind() kind     { return kindTaskState }
func (Locate) messageKind() kind        { return kindLocate }
func (Located) messageKind() kind       { return kindLocated }
func (CancelTask) messageKind() kind    { return kindCancelTask }
func (FetchLog) messageKind() kind      { return kindFetchLog }
func (LogEntries) messageKind() kind    { return kindLogEntries }
func (Memory) messageKind() kind        { return kindMemory }
func (MemoryKept) messageKind() kind    { return kindMemoryKept }
func (FetchCoverage) messageKind() kind { return kindFetchCoverage }
func (KeysWithdrawn) messageKind() kind { return kindKeysWithdrawn }
func (FetchSnapshot) messageKind() kind { return kindFetchSnapshot }
func (SnapshotState) messageKind() kind { return kindSnapshotState }
func (HoldTasks) messageKind() kind     { return kindHoldTasks }
func (Held) messageKind() kind          { return kindHeld }
func (ReleaseHolds) messageKind() kind  { return kindReleaseHolds }

var recordTypes = typesByKind([]Record{
	Claim{}, Handover{}, ConfigChange{}, JobAccepted{}, JobProgress{}, JobCanceled{}, Snapshot{},
}, Record.recordKind)

var messageTypes = typesByKind([]Message{
	Heartbeat{}, Coverage{}, Grant{}, Forward{}, Reply{}, Dispatch{}, TaskState{},
	Locate{}, Located{}, CancelTask{}, FetchLog{}, LogEntries{}, FetchCoverage{}, KeysWithdrawn{},
	FetchSnapshot{}, SnapshotState{}, Memory{}, MemoryKept{}, HoldTasks{}, Held{}, ReleaseHolds{},
}, Message.messageKind)

func typesByKind[T any](samples []T, kindOf func(T) kind) map[kind]reflect.Type {
	types := make(map[kind]reflect.Type, len(samples))
	for _, s := range samples {
		types[kindOf(s)] = reflect.TypeOf(s)
	}
	return types
}

// envelope is an encoded record or message with its kind.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	Body cbor.RawMessage
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeEnvelope(k kind, v any) (envelope, error) {
	body, err := encMode.Marshal(v)
	return envelope{Kind: k, Body: body}, errors.Wrap(err, "encode body")
}

func decodeBody[T any](e envelope, types map[kind]reflect.Type) (T, error) {
	var zero T
	typ, ok := types[e.Kind]
	if !ok {
		return zero, errors.Newf("unknown kind %d", e.Kind)
	}
	target := reflect.New(typ)
	if err := cbor.Unmarshal(e.Body, target.Interface()); err != nil {
		return zero, errors.Wrapf(err, "decode %s", typ.Name())
	}
	return target.Elem().Interface().(T), nil
}

// EncodeEntry encodes a batch of records as one log entry. It returns an error when
// a record cannot be encoded.
func EncodeEntry(records []Record) ([]byte, error) {
	list := make([]envelope, 0, len(records))
	for _, r := range records {
		e, err := encodeEnvelope(r.recordKind(), r)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return encMode.Marshal(list)
}

// DecodeEntry decodes a log entry. It skips records of an unknown kind, which a
// newer version wrote, and returns an error when the entry is malformed.
func DecodeEntry(data []byte) ([]Record, error) {
	var list []envelope
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode log entry")
	}
	records := make([]Record, 0, len(list))
	for _, e := range list {
		if _, known := recordTypes[e.Kind]; !known {
			continue
		}
		r, err := decodeBody[Record](e, recordTypes)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// EncodeMessage encodes a message. It returns an error when the message cannot be
// encoded.
func EncodeMessage(m Message) ([]byte, error) {
	e, err := encodeEnvelope(m.messageKind(), m)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(e)
}

// DecodeMessage decodes a message. It returns an error when data is malformed or
// of an unknown kind.
func DecodeMessage(data []byte) (Message, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return decodeBody[Message](e, messageTypes)
}
