package scheduling

// TakeRequestedTokens returns the tokens that organisations with a limit have asked
// for since the last call, by OrganisationKey. Those of requests that were
// refused for the limit are in it, so that the limit's keeper sees the demand.
func (s *Scheduler) TakeRequestedTokens() map[string]float64 {
	asked := s.asked
	s.asked = map[string]float64{}
	return asked
}

func (s *Scheduler) ask(request *Request, tokens float64) {
	if request.Organisation.TokensPerSecond > 0 {
		s.asked[organisationKey(request.Plan, request.Organisation)] += tokens
	}
}
