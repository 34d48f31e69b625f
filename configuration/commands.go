package configuration

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind names what a command does.
type Kind string

// The kinds of command.
const (
	Try           Kind = "try"
	Promote       Kind = "promote"
	Withdraw      Kind = "withdraw"
	SetDataCentre Kind = "set_data_centre"
	SetVM         Kind = "set_vm"
)

// Command is one operator command.
type Command struct {
	// ID is chosen by the operator; a repeated ID returns the first outcome.
	ID   string
	Kind Kind
	// Target names the environment, data centre or VM.
	Target string
	// Digest is the digest of the document to try or to promote.
	Digest string
	// Replaces is the environment version that a promotion or withdrawal replaces.
	Replaces uint64
	// OutOfService is true when SetDataCentre or SetVM takes the target out of service.
	OutOfService bool
}

// Errors of commands.
var (
	// ErrNotInTrial is returned when a promotion names a digest that is not in trial.
	ErrNotInTrial = eris.New("the digest is not the one in trial")
	// ErrUnknownEnvironment is returned for an environment that was never tried.
	ErrUnknownEnvironment = eris.New("unknown environment")
	// ErrCommandReused is returned when a command id is used for another command.
	ErrCommandReused = eris.New("the command id was used for another command")
)

// StaleVersionError is returned when a command replaces a version that is not current.
type StaleVersionError struct {
	// Current is the environment's current version.
	Current uint64
}

// Error returns a message with the current version.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("stale version: the current one is %d", e.Current)
}

// Apply returns the site after a command. A repeated command changes nothing
// and returns its first outcome.
func Apply(site Site, command Command) (Site, Outcome, error) {
	if earlier, ok := site.Outcome(command.ID); ok {
		return repeatedOutcome(site, earlier, command)
	}
	next := site.clone()
	next.Version++
	if err := next.applyCommand(command); err != nil {
		return site, Outcome{}, err
	}
	outcome := Outcome{
		CommandID:    command.ID,
		Kind:         command.Kind,
		Target:       command.Target,
		Digest:       command.Digest,
		OutOfService: command.OutOfService,
		Version:      next.Version,
	}
	next.Outcomes = append(next.Outcomes, outcome)
	if len(next.Outcomes) > maxOutcomes {
		next.Outcomes = next.Outcomes[len(next.Outcomes)-maxOutcomes:]
	}
	return next, outcome, nil
}

func repeatedOutcome(site Site, earlier Outcome, command Command) (Site, Outcome, error) {
	same := earlier.Kind == command.Kind && earlier.Target == command.Target && earlier.Digest == command.Digest && earlier.OutOfService == command.OutOfService
	if !same {
		return site, Outcome{}, ErrCommandReused
	}
	return site, earlier, nil
}

func (s *Site) applyCommand(command Command) error {
	switch command.Kind {
	case Try:
		return s.try(command)
	case Promote:
		return s.promote(command)
	case Withdraw:
		return s.withdraw(command)
	case SetDataCentre:
		setOutOfService(s.OutOfServiceDataCentres, command)
	case SetVM:
		setOutOfService(s.OutOfServiceVMs, command)
	}
	return nil
}

func (s *Site) try(command Command) error {
	environment := s.Environments[command.Target]
	environment.Version = s.Version
	environment.TrialDigest = command.Digest
	s.Environments[command.Target] = environment
	return nil
}

func (s *Site) promote(command Command) error {
	environment, err := s.currentEnvironment(command)
	if err != nil {
		return err
	}
	if environment.TrialDigest == "" || environment.TrialDigest != command.Digest {
		return ErrNotInTrial
	}
	environment.Version = s.Version
	environment.ProductionDigest = command.Digest
	environment.TrialDigest = ""
	s.Environments[command.Target] = environment
	return nil
}

func (s *Site) withdraw(command Command) error {
	environment, err := s.currentEnvironment(command)
	if err != nil {
		return err
	}
	environment.Version = s.Version
	environment.ProductionDigest = ""
	environment.TrialDigest = ""
	s.Environments[command.Target] = environment
	return nil
}

func (s *Site) currentEnvironment(command Command) (Environment, error) {
	environment, ok := s.Environments[command.Target]
	if !ok {
		return Environment{}, ErrUnknownEnvironment
	}
	if environment.Version != command.Replaces {
		return Environment{}, &StaleVersionError{Current: environment.Version}
	}
	return environment, nil
}

func setOutOfService(out map[string]bool, command Command) {
	if command.OutOfService {
		out[command.Target] = true
		return
	}
	delete(out, command.Target)
}
