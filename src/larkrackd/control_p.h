// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Control state of a node: membership, ownership of backend servers, and shifts. Publishes snapshots to the
/// traffic threads.
///
/// control.cpp holds the periodic work, control_messages.cpp the messages between entry VMs,
/// control_owners.cpp the ownership of backend servers, control_shifts.cpp the shares of regions, and
/// control_view.cpp the snapshots.
/// Owns: the newest entry of each member, the limiter of each service's shares, and the incarnation of this
/// process.
/// Relies on: platform_sync for the configuration and records, peers for messages, the gate for slots.
/// Without the platform or peers, control continues with the last received state and reports a degraded mode.
#pragma once

#include "larkrackd/membership_p.h"
#include "larkrackd/ownership_p.h"
#include "larkrackd/peers_p.h"
#include "larkrackd/platform_sync_p.h"
#include "larkrackd/shift_p.h"
#include "larkrackd/traffic_view_p.h"

#include <memory>
#include <set>
#include <string>

namespace larkrack
{
/// Progress of a service's shift, as shown to operators.
struct shift_status
{
	std::string service;
	step_record step;
	std::vector<double> in_force; ///< Shares that this node applies, by region handle.
};

/// Control thread only.
class control : public service_base
{
public:
	explicit control(asio::io_context& _context);
	const char* name() const override
	{
		return "control";
	}
	std::optional<error> init(kernel& _kernel) override;
	void shutdown() override;

	/// Begins a planned stop: announces it to the other nodes and hands over the owned backend servers.
	void begin_stop();
	/// @returns Whether nothing is left to hand over.
	bool is_handed_over() const;
	/// Sends the farewell to all peers, so that they know at once that this process has ended.
	void send_farewell();

	membership& members()
	{
		return *m_members;
	}
	/// @returns Names of the degraded modes that hold now.
	std::vector<std::string> degraded_modes() const;
	/// @returns Progress of the shifts of all services.
	std::vector<shift_status> shifts() const;
	/// @returns Incarnation of this process: its start in microseconds since 1970.
	incarnation life() const
	{
		return m_incarnation;
	}
	/// Blocks the connections to some entry VMs and, if _platform is set, to the platform. For tests.
	void set_partitioned(const std::set<std::string>& _vms, bool _platform);

private:
	struct service_state
	{
		mix_limiter limiter{0.1, std::chrono::seconds(10)};
		steady_time started{};
		/// By region handle: whether the region was open once, or the grace period is over.
		std::vector<bool> was_open;
	};

	void run_ticks(const yield_context& _yield);
	void run_shift_driver(const yield_context& _yield);
	void run_ownership(const yield_context& _yield);
	void run_probes(const yield_context& _yield);
	void probe(const gate_backend& _backend, const yield_context& _yield);
	void tick(steady_time _now);
	void check_pause(steady_time _now);
	void on_envelope(const envelope& _envelope);
	void on_heartbeat(const envelope& _envelope, const message_heartbeat& _body);
	void on_change(bool _config, const std::vector<record>& _records);
	void send(const std::string& _vm, const message& _message);
	void send_heartbeats(steady_time _now);
	/// Logs which members became alive, suspected or left since the last call.
	void log_peer_changes(steady_time _now);
	void configure();
	void update_gate(steady_time _now);
	void update_shares(steady_time _now);
	/// Lowers shares, within k_startup_grace, to those that nodes which started earlier apply.
	void start_from_peers(const std::string& _service, service_state& _state, steady_time _now);
	/// Lowers the share of regions that lost slots, so that they regain the share only as fast as the cap
	/// allows.
	static void lower_to_capacity(
	    const std::vector<region_capacity>& _capacities, service_state& _state, steady_time _now);
	void announce_shares(
	    const std::string& _service, const std::vector<double>& _target, const service_state& _state);
	void publish(steady_time _now);
	/// Determines once, when the owner records are known, whether an earlier process of this entry VM may
	/// have run requests with keys.
	void detect_first_incarnation(domain_handle _domain);
	peer_view view_of(const entry_vm_spec& _vm, steady_time _now) const;
	service_view view_of(service_handle _service, steady_time _now);
	void update_owners(domain_handle _domain, service_handle _service, const yield_context& _yield);
	void drive_shift(service_handle _service, const yield_context& _yield);
	std::optional<std::string> next_step(const std::string& _old, service_handle _service);
	std::vector<region_capacity> region_capacities(service_handle _service, steady_time _now) const;
	std::set<std::string> owner_candidates(domain_handle _domain, steady_time _now) const;
	std::vector<std::string> backends_of(domain_handle _domain, service_handle _service) const;
	owner_facts gather_owner_facts(
	    domain_handle _domain, service_handle _service, const std::set<std::string>& _candidates) const;
	/// @returns Name of the record of a service's step.
	static std::string step_key(const std::string& _service)
	{
		return "step/" + _service;
	}
	std::string owner_key(domain_handle _domain, service_handle _service) const;
	const policy* rules() const
	{
		return m_sync->configuration().current().get();
	}

	asio::io_context& m_context;
	const settings* m_settings = nullptr;
	clock_base* m_clock = nullptr;
	gate* m_gate = nullptr;
	peers_base* m_peers = nullptr;
	platform_sync* m_sync = nullptr;
	view_publisher* m_view_publisher = nullptr;
	std::unique_ptr<membership> m_members;
	std::map<std::string, service_state> m_services;
	std::map<std::string, mix_limiter> m_driver_limiters; ///< By service, while this node drives shifts.
	std::set<std::string> m_logged_alive;
	/// By backend server: 1 while a drain waits for running requests, 0 after it.
	std::map<std::string, int> m_draining;
	http_caller m_caller;
	incarnation m_incarnation;
	steady_time m_last_tick{};
	steady_time m_next_update{};
	std::size_t m_ticks = 0;
	bool m_stopping = false;
	bool m_leaving = false;
	bool m_first_incarnation = false;
	bool m_checked_first_incarnation = false;
};
} // namespace larkrack
