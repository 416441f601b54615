package runtimes

import (
	"cmp"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The encoded form holds what changes slowly: the groups and the workers' speeds. The
// samples of steps are left out, as steps end within seconds. What does not fit is left
// out too: first the least observed narrow groups, then the least observed workers.

const (
	// MaxEncoded is the maximum length of the encoded form, in bytes.
	MaxEncoded = 16 << 10
	// maxEncodedQueues and maxEncodedGroups bound the parts of it for whole queues and for
	// all groups, so that the rest is left to workers.
	maxEncodedQueues = 6 << 10
	maxEncodedGroups = 8 << 10
	// maxEncodedFraming is the length of what encloses the groups and the workers.
	maxEncodedFraming = 64
	// encodedVersion is the version of the form. Others are not decoded.
	encodedVersion = 1
	// fixedPoint is the unit of encoded logarithms, as a divisor.
	fixedPoint = 1000
)

type encodedModel struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Groups  []cbor.RawMessage // encodedGroup
	Workers []cbor.RawMessage // encodedWorker
}

type encodedGroup struct {
	_         struct{} `cbor:",toarray"`
	Queue     string
	Kind      uint8
	Value     string
	Size      int
	Observed  int
	Held      int // of a thousand predictions; -1 if there were none
	Noise     int // see group.noise, in units of 1/fixedPoint
	Histogram []encodedHistogram
}

// encodedHistogram holds bins relative to the largest one, without those at both ends
// that are zero.
type encodedHistogram struct {
	_       struct{} `cbor:",toarray"`
	Samples int
	First   int // index of the first bin
	Bins    []byte
}

type encodedWorker struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Log      int // in units of 1/fixedPoint
	Variance int
	Runs     int
}

// marshal returns the encoding of v, a type of this file.
func marshal(v any) cbor.RawMessage {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("encode the model: " + err.Error()) // the types have only fields that the codec supports
	}
	return data
}

// Encode returns the model in at most MaxEncoded bytes.
func (m *Model) Encode() []byte {
	out := encodedModel{Version: encodedVersion}
	size := maxEncodedFraming
	for _, narrow := range []bool{false, true} {
		limit := maxEncodedQueues
		if narrow {
			limit = maxEncodedGroups
		}
		for _, key := range m.groupsToEncode(narrow) {
			item := marshal(encodeGroup(key, m.groups.get(key)))
			if size+len(item) <= limit {
				out.Groups, size = append(out.Groups, item), size+len(item)
			}
		}
	}
	for _, id := range m.workersToEncode() {
		w := m.workers.get(id)
		item := marshal(&encodedWorker{ID: id, Log: toFixed(w.log), Variance: toFixed(w.variance), Runs: w.runs})
		if size += len(item); size > MaxEncoded {
			break
		}
		out.Workers = append(out.Workers, item)
	}
	return marshal(&out)
}

// groupsToEncode returns the keys of the narrow groups, or of the queues, the most
// observed ones first.
func (m *Model) groupsToEncode(narrow bool) []groupKey {
	var keys []groupKey
	for key := range m.groups.byUse() {
		if narrow == (key.kind != byQueue) {
			keys = append(keys, key)
		}
	}
	slices.SortStableFunc(keys, func(a, b groupKey) int {
		return cmp.Compare(m.groups.get(b).observed, m.groups.get(a).observed)
	})
	return keys
}

// workersToEncode returns the ids of the workers with runs, those with most runs first.
func (m *Model) workersToEncode() []string {
	type counted struct {
		id   string
		runs int
	}
	var list []counted
	for id, w := range m.workers.byUse() {
		if w.runs > 0 {
			list = append(list, counted{id, w.runs})
		}
	}
	slices.SortFunc(list, func(a, b counted) int { return cmp.Or(cmp.Compare(b.runs, a.runs), cmp.Compare(a.id, b.id)) })
	ids := make([]string, len(list))
	for i := range list {
		ids[i] = list[i].id
	}
	return ids
}

func toFixed(x float64) int { return int(math.Round(x * fixedPoint)) }

func encodeGroup(key groupKey, g *group) *encodedGroup {
	out := &encodedGroup{Queue: key.queue, Kind: uint8(key.kind), Value: key.value, Size: key.size, Observed: g.observed, Held: -1, Noise: toFixed(g.noise)}
	if g.total > 0 {
		out.Held = int(math.Round(1000 * g.within / g.total))
	}
	out.Histogram = append(out.Histogram, g.ratios.encode())
	if key.kind == byQueue {
		out.Histogram = append(out.Histogram, g.errors[0].encode(), g.errors[1].encode())
	}
	return out
}

func (h *histogram) encode() encodedHistogram {
	largest := slices.Max(h.bins[:])
	if largest == 0 {
		return encodedHistogram{}
	}
	var out encodedHistogram
	out.Samples = int(math.Round(h.samples()))
	last := -1
	bins := make([]byte, binCount)
	for i, b := range h.bins {
		if bins[i] = byte(math.Round(float64(b / largest * math.MaxUint8))); bins[i] > 0 {
			last = i
		}
	}
	for out.First < last && bins[out.First] == 0 {
		out.First++
	}
	out.Bins = bins[out.First : last+1]
	return out
}

// Decode replaces the model by the encoded one. If data is not valid, it returns an error
// and the model is empty.
func (m *Model) Decode(data []byte) error {
	*m = Model{}
	if err := m.decode(data); err != nil {
		*m = Model{}
		return errors.Wrap(err, "decode the model of run times")
	}
	return nil
}

func (m *Model) decode(data []byte) error {
	in := new(encodedModel)
	if err := cbor.Unmarshal(data, in); err != nil {
		return err
	}
	if in.Version != encodedVersion {
		return errors.Newf("version %d", in.Version)
	}
	for i := len(in.Groups) - 1; i >= 0; i-- { // so that the most observed ones are the last used
		if err := m.decodeGroup(in.Groups[i]); err != nil {
			return err
		}
	}
	for i := len(in.Workers) - 1; i >= 0; i-- {
		if err := m.decodeWorker(in.Workers[i]); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) decodeGroup(data []byte) error {
	in := new(encodedGroup)
	if err := cbor.Unmarshal(data, in); err != nil {
		return err
	}
	if in.Kind >= uint8(groupKinds) || in.Observed < 0 || in.Held > 1000 || len(in.Histogram) == 0 || len(in.Histogram) > 3 {
		return errors.Newf("group of kind %d with %d histograms", in.Kind, len(in.Histogram))
	}
	g := m.groups.add(groupKey{in.Queue, groupKind(in.Kind), in.Value, in.Size}, MaxGroups, nil)
	g.observed = in.Observed
	if in.Noise > 0 {
		g.noise = max(minNoise, float64(in.Noise)/fixedPoint)
	}
	if in.Held >= 0 {
		g.within, g.total = float64(in.Held)/1000, 1
	}
	for i, h := range []*histogram{&g.ratios, &g.errors[0], &g.errors[1]}[:len(in.Histogram)] {
		if err := h.decode(&in.Histogram[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *histogram) decode(in *encodedHistogram) error {
	if in.First < 0 || in.Samples < 0 || in.Samples > maxEncodedSamples || len(in.Bins) > binCount-min(binCount, in.First) {
		return errors.Newf("histogram of %d samples with %d bins from %d on", in.Samples, len(in.Bins), in.First)
	}
	total := 0
	for _, b := range in.Bins {
		total += int(b)
	}
	if total == 0 {
		return nil
	}
	for i, b := range in.Bins {
		h.bins[in.First+i] = float32(float64(b) * float64(in.Samples) / float64(total))
	}
	h.sum = float64(in.Samples)
	return nil
}

// maxEncodedSamples is more than the loss of weight leaves of any number of samples.
const maxEncodedSamples = 4 * halfLifeRuns

func (m *Model) decodeWorker(data []byte) error {
	in := new(encodedWorker)
	if err := cbor.Unmarshal(data, in); err != nil {
		return err
	}
	if in.Runs < 0 || in.Variance < 0 {
		return errors.Newf("worker %q with %d runs and variance %d", in.ID, in.Runs, in.Variance)
	}
	w := m.workers.add(in.ID, MaxWorkers, nil)
	w.runs = in.Runs
	w.variance = min(unknownVariance, float64(in.Variance)/fixedPoint)
	w.move(float64(in.Log) / fixedPoint)
	return nil
}
