package ctlstate

import "slices"

// EpochStep is one change of the epochs: the preparation of the next epoch, or its
// activation. It describes a prepared epoch by how it differs from the epoch that
// was the latest before.
type EpochStep struct {
	// Index is the log index of the change.
	Index uint64 `msgpack:"i"`
	// Prepared is the number of the epoch that was prepared, zero for an
	// activation.
	Prepared uint64      `msgpack:"p,omitempty"`
	Added    []MemberKey `msgpack:"a,omitempty"`
	Removed  []MemberKey `msgpack:"r,omitempty"`
}

// EpochSteps are all changes of the epochs after the log index Base, in order.
type EpochSteps struct {
	Base  uint64      `msgpack:"b"`
	Steps []EpochStep `msgpack:"s"`
}

// Apply returns the epochs after the steps. ok is false if the steps do not
// continue from e.
func (s EpochSteps) Apply(e Epochs) (result Epochs, ok bool) {
	if e.Changed < s.Base {
		return e, false
	}
	for _, step := range s.Steps {
		if step.Index > e.Changed {
			e = e.after(step)
		}
	}
	return e, true
}

// after returns the epochs after one step.
func (e Epochs) after(step EpochStep) Epochs {
	if step.Prepared == 0 {
		return Epochs{Active: e.latest(), Changed: step.Index}
	}
	members := make([]MemberKey, 0, len(e.latest().Members)+len(step.Added))
	for _, k := range e.latest().Members {
		if !slices.Contains(step.Removed, k) {
			members = append(members, k)
		}
	}
	members = append(members, step.Added...)
	slices.SortFunc(members, compareKeys)
	return Epochs{Active: e.Active, Next: &Epoch{Number: step.Prepared, Members: members}, Changed: step.Index}
}

// latest returns the prepared epoch, or the active one if none is prepared.
func (e Epochs) latest() Epoch {
	if e.Next != nil {
		return *e.Next
	}
	return e.Active
}

// maxEpochSteps bounds the steps that a Machine keeps. A reader that lags further
// behind gets the complete epochs.
const maxEpochSteps = 128

// epochHistory holds the latest steps. Each voter builds its own while it applies
// the log, so that after a start the history is short and readers get the complete
// epochs.
type epochHistory struct {
	base  uint64
	steps []EpochStep
}

// record adds the step from old to next. If a step can't describe the change, the
// history starts again.
func (h *epochHistory) record(old, next Epochs) {
	step := stepBetween(old, next)
	if after := old.after(step); !sameEpochs(after, next) {
		h.base, h.steps = next.Changed, nil
		return
	}
	h.steps = append(h.steps, step)
	if extra := len(h.steps) - maxEpochSteps; extra > 0 {
		h.base = h.steps[extra-1].Index
		h.steps = slices.Delete(h.steps, 0, extra)
	}
}

func stepBetween(old, next Epochs) EpochStep {
	step := EpochStep{Index: next.Changed}
	if next.Next == nil {
		return step
	}
	step.Prepared = next.Next.Number
	step.Added = missingFrom(old.latest().Members, next.Next.Members)
	step.Removed = missingFrom(next.Next.Members, old.latest().Members)
	return step
}

// missingFrom returns the keys of list that are not in known.
func missingFrom(known, list []MemberKey) []MemberKey {
	present := make(map[MemberKey]bool, len(known))
	for _, k := range known {
		present[k] = true
	}
	var missing []MemberKey
	for _, k := range list {
		if !present[k] {
			missing = append(missing, k)
		}
	}
	return missing
}

func sameEpochs(a, b Epochs) bool {
	same := func(x, y Epoch) bool { return x.Number == y.Number && slices.Equal(x.Members, y.Members) }
	if (a.Next == nil) != (b.Next == nil) || a.Changed != b.Changed || !same(a.Active, b.Active) {
		return false
	}
	return a.Next == nil || same(*a.Next, *b.Next)
}

// since returns the steps after the log index. ok is false if the history does not
// reach back that far.
func (h *epochHistory) since(index uint64) (EpochSteps, bool) {
	if index < h.base {
		return EpochSteps{}, false
	}
	first := slices.IndexFunc(h.steps, func(s EpochStep) bool { return s.Index > index })
	if first < 0 {
		return EpochSteps{Base: index}, true
	}
	return EpochSteps{Base: index, Steps: slices.Clone(h.steps[first:])}, true
}

// latest returns the last step.
func (h *epochHistory) latest() EpochSteps {
	first := max(len(h.steps)-1, 0)
	base := h.base
	if first > 0 {
		base = h.steps[first-1].Index
	}
	return EpochSteps{Base: base, Steps: slices.Clone(h.steps[first:])}
}
