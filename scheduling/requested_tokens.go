package scheduling

// TakeRequestedTokens returns the tokens that rate-limited organisations requested
// since the last call, by OrganisationKey. It includes requests refused for the
// rate limit, so that the limit's allocator sees the whole demand.
func (s *Scheduler) TakeRequestedTokens() map[string]float64 {
	taken := s.requestedTokens
	s.requestedTokens = map[string]float64{}
	return taken
}

func (s *Scheduler) addRequestedTokens(request *Request, tokens float64) {
	if request.Organisation.TokensPerSecond > 0 {
		s.requestedTokens[organisationKey(request.Plan, request.Organisation)] += tokens
	}
}
