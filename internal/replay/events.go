package replay

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/event"
	"pollenbend/internal/wire"
)

// kind is the name of an event type in a trace.
type kind string

// peerMessage is the recorded form of event.PeerMessage. Message is encoded as it
// is between instances.
type peerMessage struct {
	From    wire.InstanceRef
	Message []byte
}

const kindPeerMessage kind = "peer_message"

// sampleEvents has one event of each kind that is recorded as the JSON of its own
// fields.
var sampleEvents = map[kind]event.Event{
	"tick":          event.Tick{},
	"log_read":      event.LogRead{},
	"append_done":   event.AppendDone{},
	"listed":        event.Listed{},
	"peer_down":     event.PeerDown{},
	"renew_done":    event.RenewDone{},
	"start_done":    event.StartDone{},
	"request_in":    event.RequestIn{},
	"request_gone":  event.RequestGone{},
	"drain_started": event.DrainStarted{},
}

var kindByType = newKindByType()

func newKindByType() map[reflect.Type]kind {
	byType := make(map[reflect.Type]kind, len(sampleEvents))
	for k, e := range sampleEvents {
		byType[reflect.TypeOf(e)] = k
	}
	return byType
}

func encodeEvent(e event.Event) (kind, json.RawMessage, error) {
	if m, ok := e.(event.PeerMessage); ok {
		data, err := wire.EncodeMessage(m.Message)
		if err != nil {
			return "", nil, err
		}
		body, err := json.Marshal(peerMessage{From: m.From, Message: data})
		return kindPeerMessage, body, err
	}
	k, ok := kindByType[reflect.TypeOf(e)]
	if !ok {
		return "", nil, errors.Newf("events of type %T are not recorded", e)
	}
	body, err := json.Marshal(e)
	return k, body, errors.Wrapf(err, "encode %s", k)
}

func decodeEvent(k kind, body json.RawMessage) (event.Event, error) {
	if k == kindPeerMessage {
		return decodePeerMessage(body)
	}
	sample, ok := sampleEvents[k]
	if !ok {
		return nil, errors.Newf("unknown kind of event %q", k)
	}
	target := reflect.New(reflect.TypeOf(sample))
	if err := json.Unmarshal(body, target.Interface()); err != nil {
		return nil, errors.Wrapf(err, "decode %s", k)
	}
	return target.Elem().Interface().(event.Event), nil
}

func decodePeerMessage(body json.RawMessage) (event.Event, error) {
	var m peerMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode %s", kindPeerMessage)
	}
	message, err := wire.DecodeMessage(m.Message)
	return event.PeerMessage{From: m.From, Message: message}, err
}
