package replay

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// TestEventsReadAsTheyWereRecorded encodes and decodes an event of each kind.
func TestEventsReadAsTheyWereRecorded(t *testing.T) {
	events := []event.Event{
		event.Tick{Wall: time.Date(2026, 10, 25, 1, 0, 0, 7, time.UTC)},
		event.LogRead{Entries: []platform.Entry{{Offset: 3, Data: []byte{0, 255}}}, Oldest: 2, Next: 4},
		event.AppendDone{ID: 1, Offset: 3, Verdict: verdict.MayHaveRun},
		event.Listed{Listing: platform.Listing{Version: 1, Workers: []model.Worker{{ID: "w", Labels: map[string]string{"a": "b"}}}}},
		event.PeerMessage{From: wire.InstanceRef{Instance: "b", Incarnation: 1 << 63}, Message: wire.CancelTask{Task: "t/r/0", Mode: "kill"}},
		event.PeerDown{Peer: wire.InstanceRef{Instance: "b"}},
		event.RenewDone{Worker: "w", SentAt: 5, Reply: platform.RenewReply{Granted: true, Finished: []model.Outcome{{Task: "t", Answer: []byte("x")}}}},
		event.StartDone{Worker: "w", Seq: 9, Verdict: verdict.NotRun, Reason: "full"},
		event.RequestIn{Handle: 1, Request: model.Request{Op: model.OpApply, Change: &model.Change{ID: "c", Base: 2}}},
		event.RequestGone{Handle: 1},
		event.DrainStarted{},
	}
	require.Len(t, events, len(sampleEvents)+1)
	for _, e := range events {
		k, body, err := encodeEvent(e)
		require.NoError(t, err)
		require.True(t, json.Valid(body))
		back, err := decodeEvent(k, body)
		require.NoError(t, err)
		require.Equal(t, e, back)
	}
}
