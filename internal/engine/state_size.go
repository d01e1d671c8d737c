package engine

// stateEntryBytes is the memory of one value or prepared statement beside its texts.
const stateEntryBytes = 96

// StateSize returns the approximate memory of a statement's effect on the state of its session,
// 0 if it has none.
func (st Statement) StateSize() int {
	switch st.Verb {
	case Set:
		return stateEntryBytes + len(st.Name) + len(st.Value)
	case Prepare:
		return stateEntryBytes + len(st.Name) + len(st.Definition.Shape)
	}
	return 0
}

// StateSize returns the approximate memory of the values and prepared statements that the
// caller has set.
func (s *Session[C]) StateSize() int {
	size := 0
	for name, value := range s.values {
		size += stateEntryBytes + len(name) + len(value)
	}
	for name, definition := range s.prepared {
		size += stateEntryBytes + len(name) + len(definition.Shape)
	}
	return size
}
