package edgehost

import "github.com/prometheus/client_golang/prometheus"

type hostMetrics struct {
	configurationVersion prometheus.Gauge
	storeUp              *prometheus.GaugeVec
	unreadableRecords    prometheus.Counter
	connections          prometheus.Gauge
	messages             prometheus.Gauge
	usageReports         *prometheus.CounterVec
	dutyHolder           prometheus.Gauge
	evacuated            prometheus.Gauge
	startingServers      *prometheus.GaugeVec
	storeEra             prometheus.Gauge
	storeEraChanges      prometheus.Counter
	engineTokens         *prometheus.GaugeVec
}

func newHostMetrics(r prometheus.Registerer) *hostMetrics {
	m := &hostMetrics{
		configurationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingpath_configuration_version", Help: "Version of the configuration in force."}),
		storeUp: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "redwingpath_store_up", Help: "Whether the last read of the store succeeded, by topic."}, []string{"topic"}),
		unreadableRecords: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "redwingpath_unreadable_records_total", Help: "Records of the store that were not usable."}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingpath_backend_connections_opened", Help: "Connections opened to backend servers since the start."}),
		messages: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingpath_peer_messages_answered", Help: "Messages of other hosts answered since the start."}),
		usageReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingpath_usage_reports_total", Help: "Usage reports by result."}, []string{"result"}),
		dutyHolder: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingpath_duty_holder", Help: "Whether this host holds the duties."}),
		evacuated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingpath_evacuated_data_centres", Help: "Data centres whose servers get no requests because the operator evacuates them."}),
		startingServers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "redwingpath_starting_servers", Help: "Backend servers in slow start (paced) and cold ones."}, []string{"state"}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingpath_store_era", Help: "Number of times that the store was restored from an older copy."}),
		storeEraChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "redwingpath_store_era_changes_total", Help: "Changes of the store's era that this host has seen."}),
		engineTokens: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "redwingpath_engine_tokens", Help: "Estimated memory of the decode engines in tokens, in use and in total, by service."}, []string{"service", "state"}),
	}
	r.MustRegister(m.configurationVersion, m.storeUp, m.unreadableRecords, m.connections, m.messages, m.usageReports, m.dutyHolder,
		m.evacuated, m.startingServers, m.storeEra, m.storeEraChanges, m.engineTokens)
	return m
}
