// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Path monitor: decides whether this node's network path to the backend servers of a failure domain works,
/// as opposed to a backend server that is down.
///
/// Inputs: for each failure domain, what this node's own connections show: connections established or failed
/// (with the backend server), responses, requests in flight with their kind and deadline; the time (steady
/// clock).
///
/// Algorithm:
/// - A failed connection, or requests in flight without any response for longer than usual, make a failure
///   domain suspected. Its owner then attempts connections to other backend servers of it (due_checks()).
/// - A path is broken once such a check has failed and connections to k_failures_to_break distinct backend
///   servers of the failure domain (or all, if there are fewer) have failed with none established in between:
///   one that fails alone is down, several at once share a path.
/// - Once k_domains_to_break failure domains are broken with no connection established anywhere in between,
///   the node counts as cut off from all of them.
/// - One established connection ends all of that; broken paths are checked at each k_check_interval.
/// - A path is also broken while connections are established but k_min_unanswered requests have gone without
///   any response for k_unresponsive_factor times longer than usual, and for k_unresponsive_times mean
///   response times: responses may be lost while requests are not. The latter bound holds where requests
///   become rare. Since both are measured on other requests, which may have ceased, as many requests have to
///   be overdue by the times of their own kind (usual_times). Only a response ends that; one request in each
///   trial_interval() still goes directly.
/// - Open connections may work while new ones fail: responses since the first failure show that.
///
/// "Longer than usual" is k_silent_gaps mean intervals between responses, at least k_min_silence and at most
/// the larger one of k_max_silence and k_silent_times mean response times, both for one failure domain and
/// for all of them together.
///
/// Alternatives:
/// - counting the ejected backend servers: ejections end by themselves, and do not tell a crashed failure
///   domain from a broken path;
/// - socket time-outs (TCP_USER_TIMEOUT): they end requests that may have run on links that lose packets, and
///   tell nothing of new connections.
///
/// Cost: constant time for each event, no message. A wrong verdict costs requests a further hop (relay_table)
/// until the next check.
///
/// Relies on its owner to report each event once, and to make the checks.
#pragma once

#include "steering/usual_times_p.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace larkrack
{
/// Distinct backend servers of a failure domain to which connections have to fail before its path is broken.
constexpr std::size_t k_failures_to_break = 2;
/// Failure domains with broken paths from which on the node counts as cut off from all.
constexpr std::size_t k_domains_to_break = 2;
/// Interval between two checks of a path that is suspected or broken, milliseconds. Longer: relays are used
/// after the path works again. Shorter: more connections to backend servers.
constexpr std::chrono::milliseconds k_check_interval{250};
/// Mean intervals between responses after which requests in flight count as unanswered. More: a silent path
/// is noticed later. Fewer: a pause by chance costs a connection.
constexpr double k_silent_gaps = 8.0;
/// Bounds of that time, milliseconds.
constexpr std::chrono::milliseconds k_min_silence{150};
constexpr std::chrono::milliseconds k_max_silence{1000};
/// Mean response times up to which a time without responses is usual where requests are rare.
constexpr int k_silent_times = 2;
/// Maximum interval between two responses that is counted, milliseconds.
constexpr std::chrono::milliseconds k_max_gap{10000};
/// Requests in flight without a response from which on a path counts as unresponsive.
constexpr int k_min_unanswered = 3;
/// Multiple of the usual time without a response after which it does.
constexpr int k_unresponsive_factor = 2;
/// Minimum time without a response after which it does, milliseconds and mean response times.
constexpr std::chrono::milliseconds k_min_unresponsive{800};
constexpr int k_unresponsive_times = 3;
/// Minimum interval between two requests that are sent directly over an unresponsive path, milliseconds.
constexpr std::chrono::milliseconds k_path_trial_interval{1000};
/// Weight of the latest response in the mean interval between responses and the mean response time.
constexpr double k_gap_weight = 0.1;
/// Maximum age of a response that shows that open connections work, milliseconds.
constexpr std::chrono::milliseconds k_open_connection_proof{500};

/// Time without a response that is longer than usual.
class response_silence
{
public:
	/// @param[in] _taken Time from the request to the response.
	void on_response(steady_time _now, steady_time::duration _taken);
	/// A request was sent while none was in flight.
	void on_first_request(steady_time _now);
	/// @returns Whether requests in flight have gone unanswered for longer than usual.
	bool silent(steady_time _now) const;
	/// @returns Time without a response that is usual.
	steady_time::duration limit() const;
	/// @returns Whether they have gone unanswered for so long that responses seem to be lost.
	bool unresponsive(steady_time _now) const;
	steady_time::duration mean_time() const
	{
		return m_mean_time;
	}
	/// @returns Time of the last response; epoch: none yet.
	steady_time last_response() const
	{
		return m_last_response;
	}

private:
	steady_time m_last_response{};
	steady_time m_waiting_since{}; ///< The later one of the last response and the first request in flight.
	steady_time::duration m_mean_gap{k_max_silence / static_cast<int>(k_silent_gaps)};
	steady_time::duration m_mean_time{0};
};

/// A request over a direct connection, as the path monitor sees it.
struct path_request
{
	domain_name domain; ///< At its begin: the entry of its backend server may name another one at its end.
	request_kind kind;
	steady_time sent_at{};
	steady_time overdue_at{};
	bool answered = false; ///< A response of its backend server came.
};

/// Requests that should have been answered.
class overdue_requests
{
public:
	void on_start(const path_request& _request);
	/// @param[in] _now Counts the request on if it is overdue then and was given up without a response.
	void on_end(const path_request& _request, steady_time _now);
	/// Forgets requests that were given up.
	void clear_ended()
	{
		m_ended = 0;
	}
	/// @returns Whether enough requests are overdue for a verdict.
	bool enough(steady_time _now) const;

private:
	std::multiset<steady_time> m_in_flight; ///< When each one is overdue.
	int m_ended = 0;                        ///< Given up since the last response.
};

/// Verdicts on the paths to all failure domains.
class path_monitor
{
public:
	/// An exchange over a direct connection started.
	/// @param[in] _until_deadline Time that its request has.
	/// @returns What the owner passes to the following two while the exchange runs.
	path_request on_exchange_start(const domain_name& _domain, const request_kind& _kind,
	    steady_time::duration _until_deadline, steady_time _now);
	/// The exchange ended, with or without a response.
	void on_exchange_end(const path_request& _request, steady_time _now);
	/// @param[in] _ran Whether the backend server ran the request, so that its time is one of its kind.
	void on_response(path_request& _request, bool _ran, steady_time _now);
	void on_connected(const domain_name& _domain, steady_time _now);
	/// @param[in] _server Hash of the backend server's incarnation.
	void on_connect_failed(const domain_name& _domain, std::uint32_t _server, steady_time _now);
	/// Records that the owner begins a check of a failure domain.
	void on_check_started(const domain_name& _domain, steady_time _now);
	/// Records that a check ended with a connection; also calls for on_connected().
	void on_check_passed(const domain_name& _domain, steady_time _now);
	/// @param[in] _servers Backend servers to which the check could not connect.
	/// @param[in] _in_domain Backend servers of the failure domain that accept requests.
	void on_check_failed(const domain_name& _domain, const std::vector<std::uint32_t>& _servers,
	    std::size_t _in_domain, steady_time _now);
	/// @returns Interval between two requests that are sent directly over an unresponsive path: within it one
	/// of usual duration is answered.
	steady_time::duration trial_interval(const domain_name& _domain) const;
	/// Takes the right to send one request directly over an unresponsive path.
	bool take_trial(const domain_name& _domain, steady_time _now);

	/// @returns Whether new connections to the backend servers of a failure domain fail, or get no responses.
	bool broken(const domain_name& _domain) const;
	/// @returns Whether connections are established and responses seem to be lost.
	bool unresponsive(const domain_name& _domain) const;
	/// @returns Whether a connection failed and no verdict is reached yet.
	bool suspected(const domain_name& _domain) const;
	/// @returns Whether open connections to a failure domain still get responses.
	bool open_connections_work(const domain_name& _domain, steady_time _now) const;
	/// @returns Failure domains for which connections are to be attempted now.
	std::vector<domain_name> due_checks(steady_time _now) const;
	/// @returns Backend servers of a failure domain to which a connection failed since one was established.
	const std::set<std::uint32_t>& failed_servers(const domain_name& _domain) const;
	/// @returns Time of the last sign that the direct path to a failure domain works; nothing: none yet, or
	/// it is broken.
	std::optional<steady_time> last_contact(const domain_name& _domain) const;
	/// @returns Time of the last response of a failure domain; epoch: none yet.
	steady_time last_response(const domain_name& _domain) const;
	/// Updates which paths are unresponsive; call it at a regular interval.
	void tick(steady_time _now);
	/// @returns Failure domains whose path is suspected or broken, of those that were ever used.
	std::vector<domain_name> troubled() const;
	/// @returns Whether the path to any failure domain is broken.
	bool any_broken() const;
	/// @returns Whether this node counts as cut off from all failure domains.
	bool cut_off() const
	{
		return m_cut_off || m_all_unresponsive;
	}

private:
	struct domain_path
	{
		response_silence responses;
		overdue_requests overdue;
		steady_time last_connected_at{};
		steady_time failing_since{};    ///< First failure since then; epoch: none.
		std::set<std::uint32_t> failed; ///< Backend servers that failed since then, at most
		                                ///< k_max_failed_servers.
		steady_time last_check_at{};
		steady_time last_trial_at{};
		int in_flight = 0;
		bool checking = false;
		bool broken = false;
		bool unresponsive = false;
	};
	const domain_path* find(const domain_name& _domain) const;
	bool check_is_due(const domain_path& _path, steady_time _now) const;

	std::map<domain_name, domain_path> m_paths;
	response_silence m_all_responses;
	overdue_requests m_all_overdue;
	usual_times m_times;
	int m_in_flight = 0;
	/// Failure domains whose path broke since a connection was established anywhere.
	std::set<domain_name> m_broken_since_connected;
	steady_time m_cut_off_since{};
	steady_time m_last_trial_at{};   ///< While all paths are unresponsive.
	bool m_cut_off = false;          ///< No connection to any failure domain is established.
	bool m_all_unresponsive = false; ///< No response of any failure domain arrives.
};
} // namespace larkrack
