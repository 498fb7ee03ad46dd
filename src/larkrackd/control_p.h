// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The control state of a node: membership, ownership, shifts; publishes snapshots to traffic threads.
/// control.cpp holds its rounds, control_messages.cpp what entry VMs tell each other, control_owners.cpp who
/// owns backend servers, control_shifts.cpp the shares of regions, control_view.cpp the snapshots. Owns the
/// members' last words, the limiter of each service's shares and this life's number; relies on platform_sync
/// for configuration and records, on peers for messages, and on the gate for the slots. Without the platform
/// or peers it goes on with what it last heard, and names that as a degraded mode.
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
/// Progress of one service's shift, for operators.
struct shift_status
{
	std::string service;
	step_record step;
	std::vector<double> in_force; ///< By region handle, at this node.
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

	/// Begins a planned stop: other nodes learn of it, backend servers are handed over.
	void begin_stop();
	/// @returns Whether nothing is left to hand over.
	bool is_handed_over() const;
	/// Says farewell to all peers.
	void say_farewell();

	membership& members()
	{
		return *m_members;
	}
	/// @returns Names of the degraded modes that hold now.
	std::vector<std::string> degraded_modes() const;
	/// @returns Progress of all services.
	std::vector<shift_status> shifts() const;
	/// @returns This life of the process.
	incarnation life() const
	{
		return m_life;
	}
	/// Cuts links to entry VMs. For tests.
	void set_cut(const std::set<std::string>& _vms, bool _platform);

private:
	struct service_state
	{
		mix_limiter limiter{0.1, std::chrono::seconds(10)};
		steady_time started{};
		std::vector<bool> seen_open; ///< By region handle.
	};

	void tick_for_ever(const yield_context& _yield);
	void drive_for_ever(const yield_context& _yield);
	void own_for_ever(const yield_context& _yield);
	void probe_for_ever(const yield_context& _yield);
	void probe(const gate_backend& _backend, const yield_context& _yield);
	void tick(steady_time _now);
	void check_pause(steady_time _now);
	void on_envelope(const envelope& _envelope);
	void on_heartbeat(const envelope& _envelope, const message_heartbeat& _body);
	void on_change(bool _config, const std::vector<record>& _records);
	void send(const std::string& _vm, const message& _message);
	void send_heartbeats(steady_time _now);
	/// Writes to the log who answers now and who does so no longer.
	void tell_peers(steady_time _now);
	void configure();
	void update_gate(steady_time _now);
	void update_shares(steady_time _now);
	/// Takes over, in its first seconds, the lower shares that older nodes have in force.
	void start_from_peers(const std::string& _service, service_state& _state, steady_time _now);
	/// Lowers the share of regions that lost slots, so that they regain it only as the cap allows.
	static void lower_to_capacity(
	    const std::vector<region_room>& _rooms, service_state& _state, steady_time _now);
	void tell_shares(
	    const std::string& _service, const std::vector<double>& _target, const service_state& _state);
	void publish(steady_time _now);
	/// Decides once, when the owners are known, whether an earlier process of this entry VM may have run
	/// keys.
	void judge_life(domain_handle _domain);
	peer_view view_of(const entry_vm_spec& _vm, steady_time _now) const;
	service_view view_of(service_handle _service, steady_time _now);
	void own(domain_handle _domain, service_handle _service, const yield_context& _yield);
	void drive(service_handle _service, const yield_context& _yield);
	std::optional<std::string> next_step(const std::string& _old, service_handle _service);
	std::vector<region_room> rooms(service_handle _service, steady_time _now) const;
	std::set<std::string> present_in(domain_handle _domain, steady_time _now) const;
	std::vector<std::string> backends_of(domain_handle _domain, service_handle _service) const;
	owner_facts facts(
	    domain_handle _domain, service_handle _service, const std::set<std::string>& _present) const;
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
	view_publisher* m_board = nullptr;
	std::unique_ptr<membership> m_members;
	std::map<std::string, service_state> m_services;
	std::map<std::string, mix_limiter> m_drivers;
	std::set<std::string> m_known_alive;
	std::map<std::string, int> m_draining;
	http_caller m_caller;
	incarnation m_life;
	steady_time m_last_tick{};
	steady_time m_next_round{};
	std::size_t m_ticks = 0;
	bool m_stopping = false;
	bool m_leaving = false;
	bool m_first_life = false;
	bool m_judged_life = false;
};
} // namespace larkrack
