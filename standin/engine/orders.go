package engine

import (
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
}

// Order is one order to an engine.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Kind is load_model, load_adapter, load_version or set_role.
	Kind string `json:"kind"`
	// Model is what to load, or the role.
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
	loads   []loading
	role    string
}

// start forgets all but what each start loads. The fencing number stays, as a
// deployment that uses it keeps it on disk.
func (m *models) start(config OrdersConfig) {
	m.managed, m.loads, m.role = config.Managed, nil, ""
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

// take applies an order, or reports that its fencing number is too old.
func (m *models) take(now time.Time, config OrdersConfig, order Order) bool {
	if config.Fencing && order.Fencing < m.fencing {
		return false
	}
	m.fencing = max(m.fencing, order.Fencing)
	if order.Kind == "set_role" {
		m.role = order.Model
		return true
	}
	if !slices.ContainsFunc(m.loads, func(one loading) bool { return one.name == order.Model }) {
		m.loads = append(m.loads, loading{name: order.Model, ready: now.Add(config.LoadTime)})
	}
	return true
}

var orderKinds = []string{"load_model", "load_adapter", "load_version", "set_role"}

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
