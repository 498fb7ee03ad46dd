// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The process of one entry VM: creates, connects, starts and stops all components.
///
/// Owns the listeners, the UDP socket for messages between nodes, the timers, the store client and one
/// instance of each component. entry_node.cpp holds start, stop and ticks; entry_node_answers.cpp the HTTP
/// responses to lookups, other nodes and scrapes; entry_node_peers.cpp the exchange with other nodes;
/// entry_node_copies.cpp the fetching of a full copy of the keys. Relies on platform_dialect_base for
/// everything that depends on the platform.
#pragma once

#include "entry_node/entry_settings_p.h"
#include "entry_node/fleet_p.h"
#include "entry_node/packed_pages_p.h"
#include "entry_node/relay_server_p.h"
#include "entry_node/store_sync_p.h"
#include "steering/config_catch_up_p.h"
#include "steering/store_start_p.h"

#include <array>

namespace larkrack
{
/// Timeout in milliseconds of a request for changes or for one page to another node. Longer: a dead node
/// delays the request to the next one. Shorter: a page from another region over a full link times out.
constexpr std::chrono::milliseconds k_peer_fetch_timeout{1000};

/// Lookup of a caller: which entry nodes take requests for a host?
struct lookup_query
{
	std::string host;
	std::string region; ///< Region of the caller.
	std::string domain; ///< Failure domain of the caller.
};

/// Protocol details of a platform: header names, store keys, lookup format and store client.
class platform_dialect_base
{
public:
	virtual ~platform_dialect_base() = default;
	virtual header_names headers() const = 0;
	virtual const record_codec_base& codec() const = 0;
	/// @returns The lookup in a request target, or nothing when the target is not a lookup.
	virtual std::optional<lookup_query> parse_lookup(const std::string& _target) const = 0;
	/// @returns Response body of a lookup.
	virtual std::string render_lookup(
	    const std::vector<std::string>& _addresses, std::chrono::milliseconds _ttl) const = 0;
	/// @returns A client of the store at an address.
	virtual std::unique_ptr<store_base> make_store(
	    asio::io_context& _context, const endpoint& _address) const = 0;
};

/// All components of a node on one thread. An entry VM has a fraction of one core: a second thread would only
/// add memory and wake-ups (docs/DESIGN.md).
class entry_node : private fleet_coordination_base, private memory_listener_base
{
public:
	entry_node(
	    const entry_settings& _settings, std::string _settings_path, const platform_dialect_base& _dialect);
	~entry_node() override;
	entry_node(const entry_node&) = delete;
	entry_node& operator=(const entry_node&) = delete;

	/// Opens all listeners and the UDP socket.
	/// @returns An error when an address cannot be bound.
	std::optional<error> open();
	/// Serves until a stop signal has arrived and the last request has ended, or the grace time is over.
	void run();

private:
	void watch_signals();
	void reload_settings();
	void begin_stop();
	/// Takes the actions of plan_stop() that are due, and repeats at each k_stop_check_interval until the
	/// process ends.
	void stop_step();
	/// @returns Whether the process exits with this step.
	bool ends_now(const stop_decision& _decision, steady_time _now) const;
	/// Refuses what waits to be sent, and writes the log before the process may be killed.
	void end_taking_requests();
	/// Runs periodic work: ticks of the components, heartbeats, digests, fetches from other nodes, log
	/// output.
	void tick();
	/// Lets the listeners notice when the event loop stood still.
	void tick_listeners();
	void receive_datagrams();
	void send_heartbeats();
	/// Sends a heartbeat to the given nodes now, outside of the schedule.
	void send_heartbeat_to(const std::vector<std::string>& _addresses);
	/// Sends a heartbeat to all live nodes of the region now.
	void send_heartbeat_to_region();
	void add_seeds(const std::vector<std::string>& _seeds);
	bool is_reader() const;
	reader_decision reader() const override;
	copy_step next_copy_step() override;
	bool should_register() const override;
	std::optional<steady_time> peers_store_response_at() const override;
	void on_initial_read() override;
	void on_store_changes(const store_changes& _changes) override;
	void send_changes(const std::vector<store_changes>& _parts, const std::vector<std::string>& _addresses);
	/// Applies changes from another node, and relays new ones if this node relays for its failure domain.
	void on_peer_changes(const store_changes& _changes);
	/// Updates this node's heartbeat with its present state and load.
	void refresh_heartbeat();
	void send_datagram(const std::vector<std::uint8_t>& _bytes, const std::string& _ip);
	/// Dispatches the datagram in m_datagram_buffer by its type.
	void on_datagram(std::size_t _size);
	/// Applies a digest of another failure domain, and relays it if this node is a relay for it.
	void on_digest_datagram(std::size_t _size);
	/// Sends a digest of this node's failure domain to the failure domains that are due to get one.
	void send_digests();
	/// Fetches state that other nodes have and this node missed. The configuration, which may be large, and
	/// all other changes are fetched concurrently, so that a leaving backend server becomes known while a
	/// configuration is being transferred: with 1,256 routes, the last of 80 nodes knows it 0.9 s after the
	/// first one instead of 1.7 s.
	void fetch_from_peers();
	void fetch_missed_changes();
	/// @returns The latest changes that other nodes have told of and this node lacks; nothing: none.
	std::optional<told_changes> changes_told_elsewhere() const;
	/// Starts or resumes a full copy of the keys from other nodes, as far as next_copy_step() permits.
	void fetch_full_copy();
	void fetch_pages(const yield_context& _yield);
	/// Requests the next page from a node and applies it.
	/// @returns Whether a valid page arrived.
	bool fetch_page(const std::string& _ip, const yield_context& _yield);
	/// Gets a configuration that another node has told of: from another node, and beside it from the store
	/// once that is due. Neither waits for the other, so that a node that does not answer costs no time.
	void fetch_missed_routes();
	void read_missed_routes();
	void fetch_routes(const yield_context& _yield);
	/// @returns Address of the node that was asked; empty: none has a newer configuration.
	std::string fetch_routes_from_peer(std::size_t _max_bytes, const yield_context& _yield);
	/// Requests changes from a node and applies them.
	/// @param[in] _routes_revision Revision of the configuration that this node has.
	/// @param[in] _max_routes_bytes Maximum size in bytes of a configuration that the response may include.
	void fetch_changes(const std::string& _ip, std::int64_t _routes_revision, std::size_t _max_routes_bytes,
	    const yield_context& _yield);
	/// @returns When the store has last confirmed what this node knows, and by whom that was heard.
	store_confirmation last_confirmation() const;
	/// Logs when that is longer ago than the bounds of changes permit, and when it no longer is.
	void check_confirmation();
	/// @returns Version of the configuration in use; 0 when there is none.
	std::uint64_t routes_version() const;

	/// Sends a query about paths to another node.
	void ask_for_paths(
	    const relay_candidate& _node, const std::string& _body, node_paths::response_handler _handler);
	/// Lets other nodes send whole requests within the limits of callers.
	void set_relay_limits(caller_limits _limits);
	/// Writes the evidence about a request that crashes backend servers to the store.
	void write_block(const request_block& _block);
	void write_rollout_status(const rollout_status& _status, std::int64_t _expected_revision);
	void answer_readiness(const std::shared_ptr<caller_session>& _session);
	void answer_lookup(const std::shared_ptr<caller_session>& _session, const caller_request& _request);
	void answer_peer(const std::shared_ptr<caller_session>& _session, caller_request&& _request);
	void answer_changes(const std::shared_ptr<caller_session>& _session, const std::string& _target);
	/// Responds to a node of an earlier version: uncompressed, and with all keys at once when the changes are
	/// not known any more.
	void answer_uncompressed(const std::shared_ptr<caller_session>& _session, const store_changes& _changes,
	    caller_response&& _response);
	void answer_page(const std::shared_ptr<caller_session>& _session, const std::string& _target);
	void answer_metrics(const std::shared_ptr<caller_session>& _session);
	std::string metrics_text();
	void set_memory_metrics();
	/// Sets what others than callers may send, and for how long.
	void set_body_rules();
	/// @returns Maximum bytes of the body of a request of another node.
	std::uint64_t max_peer_body(const caller_session& _session, const caller_request& _request) const;
	/// Logs a holder that was ended for lack of memory, at most one in each k_memory_log_interval.
	void on_memory_end(memory_use _use, std::uint64_t _bytes) override;

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
	node_paths m_paths;
	exchange_maker m_exchanges;
	forwarder m_forwarder;
	relay_server m_relays;
	state_replica m_replica;
	std::unique_ptr<store_base> m_store;
	store_sync m_sync;
	http_listener m_callers;
	http_listener m_readiness;
	http_listener m_lookups;
	http_listener m_peers;
	http_listener m_metrics_listener;
	asio::ip::udp::socket m_datagram_socket;
	asio::ip::udp::endpoint m_datagram_sender;
	std::array<std::uint8_t, 4096> m_datagram_buffer{};
	asio::signal_set m_signals;
	asio::steady_timer m_tick_timer;
	asio::steady_timer m_stop_timer;
	asio::steady_timer m_fetch_timer;
	asio::steady_timer m_fetch_routes_timer;
	http_caller m_peer_caller;
	page_rate_limit m_page_limit;
	packed_page_cache m_packed_pages;
	packed_change_cache m_packed_changes;
	steady_time m_copy_started_at{}; ///< Start of the search for a full copy of the keys.
	/// Arrival of the last page, of a response from a node that is busy serving pages, or the last time at
	/// which no live node had the keys.
	steady_time m_last_page_at{};
	std::uint64_t m_page_requests = 0;
	stop_course m_stop;
	steady_time m_last_request_at{}; ///< While stopping also of the last new connection.
	steady_time m_accepting_ended_at{};
	std::uint64_t m_accepted_before = 0; ///< Connections accepted up to the last step of the stop.
	steady_time m_next_heartbeat{};
	bool m_stopping = false;
	bool m_stop_told = false;        ///< The end of the planned stop was logged.
	bool m_fetching_changes = false; ///< A fetch of changes or pages is scheduled or running.
	bool m_fetching_routes = false;  ///< A fetch of the configuration is scheduled or running.
	bool m_reading_routes = false;   ///< The configuration is being read from the store.
	bool m_unconfirmed = false;      ///< event::store_unheard was logged last.
	steady_time m_started_at{};
	config_catch_up m_config_catch_up;
	std::minstd_rand m_random;                ///< For pauses between reads of the configuration.
	steady_time m_memory_logged_at{};         ///< Last line about an end for lack of memory.
	std::uint64_t m_unlogged_memory_ends = 0; ///< Ends since then.
	int m_routes_failures = 0;                ///< Consecutive fetches that brought no newer configuration.
};
} // namespace larkrack
