// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One entry VM's process: puts the parts together, starts and stops them.
#pragma once

#include "entry_node/entry_settings_p.h"
#include "entry_node/fleet_p.h"
#include "entry_node/packed_pages_p.h"
#include "entry_node/store_sync_p.h"
#include "steering/store_start_p.h"

#include <array>

namespace larkrack
{
/// Milliseconds for which another node may take to tell changes, or to give one page. Longer: a dead one
/// holds up the others' turn. Shorter: a page from another region over a full link is not had. Not measured.
constexpr std::chrono::milliseconds k_learn_timeout{1000};

/// Question of a caller: where to send requests for a host.
struct lookup_question
{
	std::string host;
	std::string region; ///< Of the caller.
	std::string domain; ///< Of the caller.
};

/// What a platform's callers, backend servers and store speak.
class platform_dialect_base
{
public:
	virtual ~platform_dialect_base() = default;
	virtual header_names headers() const = 0;
	virtual const record_codec_base& codec() const = 0;
	/// @returns The question in a look-up's target, or nothing when it is no look-up.
	virtual std::optional<lookup_question> parse_lookup(const std::string& _target) const = 0;
	/// @returns Body of the answer to a look-up.
	virtual std::string render_lookup(
	    const std::vector<std::string>& _addresses, std::chrono::milliseconds _ttl) const = 0;
	/// @returns Client for the store.
	virtual std::unique_ptr<store_base> make_store(
	    asio::io_context& _context, const endpoint& _address) const = 0;
};

/// All parts of a node, on one thread: an entry VM has a fraction of one core, and a second thread would only
/// add memory and wake-ups (docs/DESIGN.md).
class entry_node : private store_sharing_base
{
public:
	entry_node(
	    const entry_settings& _settings, std::string _settings_path, const platform_dialect_base& _dialect);
	~entry_node() override;
	entry_node(const entry_node&) = delete;
	entry_node& operator=(const entry_node&) = delete;

	/// Listens on all addresses.
	/// @returns An error when one can not be had.
	std::optional<error> open();
	/// Serves until the process is asked to stop and the last request has ended.
	void run();

private:
	void watch_signals();
	void reload_settings();
	void begin_stop();
	void stop_step();
	void tick();
	void receive_heartbeats();
	void send_heartbeats();
	/// Sends a heartbeat to some nodes, whose turn it is or not.
	void announce_to(const std::vector<std::string>& _addresses);
	/// Sends one to all nodes of the region.
	void announce_to_region();
	void add_seeds(const std::vector<std::string>& _seeds);
	bool is_reader() const override;
	copy_step next_copy_step() override;
	bool is_registered_one() const override;
	std::optional<steady_time> others_answered_at() const override;
	void on_first_keys() override;
	void on_read(const store_changes& _changes) override;
	void send_changes(const std::vector<store_changes>& _parts, const std::vector<std::string>& _addresses);
	/// Takes changes that another node told, and tells them on if that is this node's part.
	void take_changes(const store_changes& _changes);
	/// Puts this node's state as it is now into its heartbeats.
	void refresh_heartbeat();
	void send_datagram(const std::vector<std::uint8_t>& _bytes, const std::string& _ip);
	void take_datagram(std::size_t _size);
	/// Takes a digest of another failure domain, and passes it on if that is this node's part.
	void take_digest(std::size_t _size);
	/// Sends a digest of this node's failure domain to those that are due to get one.
	void send_digests();
	/// Fetches what other nodes know and does not come by itself. The configuration, which may be large, and
	/// all other changes are fetched side by side, so that a backend server that leaves is known while a
	/// configuration is on its way: with 1,256 routes, the last of 80 nodes knows it 0.9 s behind the first
	/// one instead of 1.7 s.
	void learn_from_peers();
	void learn_changes();
	/// Takes the next pages of a copy of all keys from other nodes, as far as it may ask them now.
	void learn_copy();
	void take_pages(const yield_context& _yield);
	/// @returns Whether a page came.
	bool fetch_page(const std::string& _ip, const yield_context& _yield);
	void learn_routes();
	void fetch_routes(const yield_context& _yield);
	void fetch_routes_from_peer(std::size_t _most_bytes, const yield_context& _yield);
	/// @param[in] _routes_revision Revision of the configuration that is known here.
	/// @param[in] _most_routes Bytes up to which the configuration is wanted from that node.
	void fetch_state(const std::string& _ip, std::int64_t _routes_revision, std::size_t _most_routes,
	    const yield_context& _yield);
	/// @returns Version of the configuration in force; 0 when there is none.
	std::uint64_t routes_version() const;

	/// Puts what is known of a request that ends backend servers into the store.
	void write_block(const request_block& _block);
	void write_rollout_status(const rollout_status& _status, std::int64_t _expected_revision);
	void answer_readiness(const std::shared_ptr<caller_session>& _session);
	void answer_lookup(const std::shared_ptr<caller_session>& _session, const caller_request& _request);
	void answer_peer(const std::shared_ptr<caller_session>& _session, const caller_request& _request);
	void answer_changes(const std::shared_ptr<caller_session>& _session, const std::string& _target);
	/// Answers a node of an earlier version: not packed, and all keys in one piece if it lacks too much.
	void answer_whole(const std::shared_ptr<caller_session>& _session, const store_changes& _changes,
	    caller_response&& _response);
	void answer_page(const std::shared_ptr<caller_session>& _session, const std::string& _target);
	void answer_metrics(const std::shared_ptr<caller_session>& _session);
	std::string metrics_text();

	entry_settings m_settings;
	std::string m_settings_path;
	const platform_dialect_base& m_dialect;
	asio::io_context m_context;
	clock_boottime m_clock;
	entry_log m_log;
	metrics m_metrics;
	backend_registry m_backends;
	fleet m_fleet;
	customer_quotas m_quotas;
	rollouts m_rollouts;
	backend_limits m_limits;
	crash_guard m_crashes;
	forwarder m_forwarder;
	state_replica m_replica;
	std::unique_ptr<store_base> m_store;
	store_sync m_sync;
	http_listener m_callers;
	http_listener m_readiness;
	http_listener m_lookups;
	http_listener m_peers;
	http_listener m_metrics_listener;
	asio::ip::udp::socket m_heartbeats;
	asio::ip::udp::endpoint m_heartbeat_sender;
	std::array<std::uint8_t, 4096> m_heartbeat_buffer{};
	asio::signal_set m_signals;
	asio::steady_timer m_tick_timer;
	asio::steady_timer m_stop_timer;
	asio::steady_timer m_learn_timer;
	asio::steady_timer m_learn_routes_timer;
	http_caller m_peer_caller;
	page_limit m_given_pages;
	packed_pages m_packed_pages;
	packed_changes m_packed_changes;
	steady_time m_copy_began{}; ///< When this node began to look for the keys.
	steady_time m_last_page{};  ///< When the last page of a copy came.
	std::uint64_t m_pages_asked = 0;
	steady_time m_stopping_since{};
	steady_time m_last_busy{};
	steady_time m_next_heartbeat{};
	bool m_stopping = false;
	bool m_learning = false;        ///< Changes or pages are awaited or being fetched.
	bool m_learning_routes = false; ///< The same of the configuration.
	int m_routes_tries = 0;         ///< To have a newer configuration, in vain, in a row.
};
} // namespace larkrack
