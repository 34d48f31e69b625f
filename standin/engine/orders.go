package engine

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"slices"
	"time"

	"github.com/gofiber/fiber/v2"
)

// OrdersConfig configures how an engine handles orders.
type OrdersConfig struct {
	// Managed makes the engine serve only loaded models. Otherwise it serves every
	// model and takes no orders.
	Managed bool
	// Fencing rejects orders whose fencing token is lower than one already accepted.
	Fencing bool
	// LoadTime is the time that loading a model takes.
	LoadTime time.Duration
	// Models are loaded at each start.
	Models []string
	// Role is the role at each start; it is empty for an engine without roles.
	Role string
	// Key, if set, verifies orders: those not signed with its private key are rejected.
	Key ed25519.PublicKey
	// Address is the engine's address, which signatures cover.
	Address string
}

// Order is one order to an engine.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Sequence increases with each order under one fencing token.
	Sequence uint64 `json:"sequence"`
	// Kind is load_model, load_adapter, load_version, unload or set_role.
	Kind string `json:"kind"`
	// Model is the model to load or unload, or the role to set.
	Model string `json:"model"`
}

// loadedModel is a model and the time at which it is loaded.
type loadedModel struct {
	name    string
	readyAt time.Time
}

// models holds an engine's loaded and loading models.
type models struct {
	managed bool
	fencing uint64
	// sequence is the sequence number of the last order accepted with the fencing token;
	// an engine with a key rejects orders up to it. unsigned counts the orders rejected
	// for their signature.
	sequence uint64
	unsigned int
	entries  []loadedModel
	role     string
}

// reset unloads everything but the models that each start loads. The fencing token
// stays, as deployments that use it store it on disk.
func (m *models) reset(config OrdersConfig) {
	m.managed, m.entries, m.role = config.Managed, nil, config.Role
	for _, name := range config.Models {
		m.entries = append(m.entries, loadedModel{name: name})
	}
}

// list returns the names of the loaded models, or nil if the engine takes no orders.
func (m *models) list(now time.Time) []string {
	if !m.managed {
		return nil
	}
	names := []string{}
	for _, one := range m.entries {
		if !one.readyAt.After(now) {
			names = append(names, one.name)
		}
	}
	return names
}

// apply applies an order. It returns false if the order is stale.
func (m *models) apply(now time.Time, config OrdersConfig, order Order) bool {
	if config.Fencing && order.Fencing < m.fencing {
		return false
	}
	if config.Key != nil && order.Fencing == m.fencing && order.Sequence <= m.sequence {
		return false
	}
	if order.Fencing >= m.fencing {
		m.fencing, m.sequence = order.Fencing, order.Sequence
	}
	isNamed := func(one loadedModel) bool { return one.name == order.Model }
	switch {
	case order.Kind == kindSetRole:
		m.role = order.Model
	case order.Kind == kindUnload:
		m.entries = slices.DeleteFunc(m.entries, isNamed)
	case !slices.ContainsFunc(m.entries, isNamed):
		m.entries = append(m.entries, loadedModel{name: order.Model, readyAt: now.Add(config.LoadTime)})
	}
	return true
}

const (
	kindSetRole = "set_role"
	kindUnload  = "unload"
	// headerSignature holds the base64 Ed25519 signature of the engine's address, a
	// newline and the body.
	headerSignature = "X-Order-Signature"
)

var orderKinds = []string{"load_model", "load_adapter", "load_version", kindUnload, kindSetRole}

// isSigned reports whether an order has a valid signature or needs none.
func (o OrdersConfig) isSigned(signature string, body []byte) bool {
	if o.Key == nil {
		return true
	}
	decoded, err := base64.StdEncoding.DecodeString(signature)
	message := append([]byte(o.Address+"\n"), body...)
	return err == nil && ed25519.Verify(o.Key, message, decoded)
}

// canServe reports whether the engine can serve a model, and counts it if not.
func (e *Engine) canServe(model string) bool {
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
	taken := s.engine.models.apply(time.Now(), s.engine.config.Orders, order)
	s.engine.mutex.Unlock()
	if !taken {
		return c.SendStatus(fiber.StatusConflict)
	}
	return c.SendStatus(fiber.StatusOK)
}
