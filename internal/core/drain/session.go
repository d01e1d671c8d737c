package drain

// EndsSession reports whether a session that waits for its caller ends in this step.
// betweenRequests is false if the caller has sent only a part of a request.
func (s Step) EndsSession(betweenRequests, inTransaction bool) bool {
	if s >= EndTransactions {
		return true
	}
	return s == Leave && betweenRequests && !inTransaction
}
