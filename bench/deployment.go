package bench

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/wigeontiller/wigeontiller/bench/model"
	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	environmentName = "bench"
	modelName       = "assistant"
	serviceName     = "orders"
	contextTokens   = 1 << 20
)

// ErrDeployment is returned for a name that stands for no deployment.
var ErrDeployment = eris.New("deployment must be works, cooperative, data-centre or fleet")

// Deployment is the size and shape of a site.
type Deployment struct {
	Name string
	// DataCentres counts them; data centre i is in region i modulo Regions.
	DataCentres, Regions int
	Nodes                int
	Engines, Services    int
	Organisations        int
	// LinkDelay is one way between data centres of a region, RegionDelay
	// between regions and ClientDelay between a caller and a node.
	LinkDelay, RegionDelay, ClientDelay time.Duration
	// ReportInterval is the time between two reports of one engine.
	ReportInterval time.Duration
	// Duration is how long requests arrive.
	Duration time.Duration
	// Load is the mean arrival of prompt tokens as a share of what all engines
	// can read.
	Load float64
	// Sharing says how far prompts begin alike; nil is not at all.
	Sharing *workload.Sharing
}

// Deployments lists the sites that can be measured; data-centre is one of the
// fleet's seven.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "works", DataCentres: 3, Regions: 1, Nodes: 8, Engines: 20, Services: 3, Organisations: 10,
			LinkDelay: 4 * time.Millisecond, ClientDelay: time.Millisecond, ReportInterval: 500 * time.Millisecond, Duration: 2 * time.Minute, Load: 0.5,
		},
		{
			Name: "cooperative", DataCentres: 3, Regions: 1, Nodes: 8, Engines: 25, Services: 3, Organisations: 10,
			LinkDelay: 2 * time.Millisecond, ClientDelay: time.Millisecond, ReportInterval: 500 * time.Millisecond, Duration: 2 * time.Minute, Load: 0.5,
		},
		{
			Name: "fleet", DataCentres: 7, Regions: 3, Nodes: 320, Engines: 680, Services: 28, Organisations: 4000,
			LinkDelay: 4 * time.Millisecond, RegionDelay: 30 * time.Millisecond, ClientDelay: time.Millisecond,
			ReportInterval: 2 * time.Second, Duration: 10 * time.Second, Load: 0.5,
		},
		{
			Name: "data-centre", DataCentres: 1, Regions: 1, Nodes: 46, Engines: 97, Services: 4, Organisations: 571,
			LinkDelay: 4 * time.Millisecond, ClientDelay: time.Millisecond,
			ReportInterval: 2 * time.Second, Duration: time.Minute, Load: 0.5,
		},
	}
}

// DeploymentByName returns one of Deployments or ErrDeployment.
func DeploymentByName(name string) (Deployment, error) {
	for _, deployment := range Deployments() {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, ErrDeployment
}

// nodesIn counts the nodes in the data centre of a node.
func (d Deployment) nodesIn(node int) int {
	first := node % d.DataCentres
	return (d.Nodes - first + d.DataCentres - 1) / d.DataCentres
}

func dataCentreName(number int) string {
	return fmt.Sprintf("dc-%d", number)
}

// document is the environment document of the site, as operators would write it.
func (d Deployment) document() (*environment.Document, error) {
	written := environment.Document{
		Name:   environmentName,
		Models: []environment.Model{{Name: modelName, ContextTokens: contextTokens}},
		LengthClasses: []environment.LengthClass{
			{Name: "short", MaxPromptTokens: 16_000, Deadline: 30 * time.Second},
			{Name: "long", MaxPromptTokens: 120_000, Deadline: 3 * time.Minute},
			{Name: "archive", MaxPromptTokens: contextTokens, Deadline: 30 * time.Minute},
		},
		Engines:  d.engines(),
		Services: []environment.Service{d.service()},
	}
	for i := range d.Organisations {
		written.Organisations = append(written.Organisations, environment.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), MaxPriority: "urgent",
		})
	}
	data, err := yaml.Marshal(written)
	if err != nil {
		return nil, eris.Wrap(err, "write the document")
	}
	document, err := environment.Parse(data)
	return document, eris.Wrap(err, "read the document")
}

func (d Deployment) engines() []environment.Engine {
	var engines []environment.Engine
	for i := range d.Engines {
		engines = append(engines, environment.Engine{
			Name:       fmt.Sprintf("engine-%d", i),
			DataCentre: dataCentreName(i % d.DataCentres),
			Address:    address(1, i),
			Models:     []string{modelName},
			Slots:      model.EngineSlots,
			KVTokens:   model.EngineKVTokens,
		})
	}
	return engines
}

func (d Deployment) service() environment.Service {
	service := environment.Service{
		Name:        serviceName,
		SideEffects: []environment.Route{{Method: "POST", Path: "/"}},
	}
	for i := range d.Services {
		service.Endpoints = append(service.Endpoints, environment.Endpoint{
			Name:       fmt.Sprintf("orders-%d", i),
			DataCentre: dataCentreName(i % d.DataCentres),
			Address:    address(2, i),
			Slots:      model.ServiceSlots,
		})
	}
	return service
}

// address gives each VM its own; nothing is sent there.
func address(network, number int) string {
	return fmt.Sprintf("10.%d.%d.%d:9000", network, number/250, number%250+1)
}

// build makes the tables of a site with some data centres out.
func build(document *environment.Document, version uint64, out map[string]bool) *tables.Tables {
	site := configuration.NewSite()
	site.Version = version
	site.OutOfServiceDataCentres = out
	site.Environments[environmentName] = configuration.Environment{Version: 1, ProductionDigest: environmentName}
	return tables.Build(site, map[string]*environment.Document{environmentName: document})
}
