package engine

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"slices"
	"time"

	"github.com/gofiber/fiber/v2"
)

// OrdersConfig says how an engine takes orders.
type OrdersConfig struct {
	// Managed makes it serve only what it has loaded; otherwise it serves every
	// model and takes no orders.
	Managed bool
	// Fencing refuses orders whose fencing number is older than one taken.
	Fencing bool
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// Models are loaded at each start.
	Models []string
	// Role is the role at each start; empty is an engine without roles.
	Role string
	// Key makes the engine take only orders signed with its private half.
	Key ed25519.PublicKey
	// Address is what a signature must cover, as the engine is addressed.
	Address string
}

// Order is one order to an engine.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Sequence grows under one fencing number.
	Sequence uint64 `json:"sequence"`
	// Kind is load_model, load_adapter, load_version, unload or set_role.
	Kind string `json:"kind"`
	// Model is what to load or unload, or the role.
	Model string `json:"model"`
}

// loading is a model and when its load ends.
type loading struct {
	name  string
	ready time.Time
}

// models is what an engine has loaded or loads.
type models struct {
	managed bool
	fencing uint64
	// sequence is the highest one taken under fencing by an engine that checks
	// orders; unsigned counts the orders refused for their signature.
	sequence uint64
	unsigned int
	loads    []loading
	role     string
}

// start forgets all but what each start loads. The fencing number stays, as a
// deployment that uses it keeps it on disk.
func (m *models) start(config OrdersConfig) {
	m.managed, m.loads, m.role = config.Managed, nil, config.Role
	for _, name := range config.Models {
		m.loads = append(m.loads, loading{name: name})
	}
}

// list returns what is loaded, or nil when the engine takes no orders.
func (m *models) list(now time.Time) []string {
	if !m.managed {
		return nil
	}
	names := []string{}
	for _, one := range m.loads {
		if !one.ready.After(now) {
			names = append(names, one.name)
		}
	}
	return names
}

// take applies an order, or reports that it is too old.
func (m *models) take(now time.Time, config OrdersConfig, order Order) bool {
	if config.Fencing && order.Fencing < m.fencing {
		return false
	}
	if config.Key != nil && order.Fencing == m.fencing && order.Sequence <= m.sequence {
		return false
	}
	if order.Fencing >= m.fencing {
		m.fencing, m.sequence = order.Fencing, order.Sequence
	}
	isNamed := func(one loading) bool { return one.name == order.Model }
	switch {
	case order.Kind == kindSetRole:
		m.role = order.Model
	case order.Kind == kindUnload:
		m.loads = slices.DeleteFunc(m.loads, isNamed)
	case !slices.ContainsFunc(m.loads, isNamed):
		m.loads = append(m.loads, loading{name: order.Model, ready: now.Add(config.LoadTime)})
	}
	return true
}

const (
	kindSetRole = "set_role"
	kindUnload  = "unload"
	// headerSignature holds the Ed25519 signature, in base64, of the engine's
	// address, a line end and the body.
	headerSignature = "X-Order-Signature"
)

var orderKinds = []string{"load_model", "load_adapter", "load_version", kindUnload, kindSetRole}

// isSigned reports whether an order is from who may give them.
func (o OrdersConfig) isSigned(signature string, body []byte) bool {
	if o.Key == nil {
		return true
	}
	decoded, err := base64.StdEncoding.DecodeString(signature)
	message := append([]byte(o.Address+"\n"), body...)
	return err == nil && ed25519.Verify(o.Key, message, decoded)
}

// serves reports whether a model's requests can run.
func (e *Engine) serves(model string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.models.managed || slices.Contains(e.models.list(time.Now()), model) {
		return true
	}
	e.unloaded++
	return false
}

func (s *Server) order(c *fiber.Ctx) error {
	if !s.engine.config.Orders.Managed {
		return c.SendStatus(fiber.StatusNotFound)
	}
	if !s.engine.config.Orders.isSigned(c.Get(headerSignature), c.Body()) {
		s.engine.mutex.Lock()
		s.engine.models.unsigned++
		s.engine.mutex.Unlock()
		return c.SendStatus(fiber.StatusUnauthorized)
	}
	var order Order
	err := json.Unmarshal(c.Body(), &order)
	if err != nil || order.Model == "" || !slices.Contains(orderKinds, order.Kind) {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	s.engine.mutex.Lock()
	taken := s.engine.models.take(time.Now(), s.engine.config.Orders, order)
	s.engine.mutex.Unlock()
	if !taken {
		return c.SendStatus(fiber.StatusConflict)
	}
	return c.SendStatus(fiber.StatusOK)
}
