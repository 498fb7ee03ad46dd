// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Model of entry nodes, backend servers with limited memory of keys, and callers that retry once, in virtual
/// time and without a network. The nodes choose by the rules of src/steering and know only what a node knows:
/// their own requests, heartbeats, and the reports in responses.
#pragma once

#include "steering/completion_choice_p.h"
#include "steering/key_frequency_p.h"
#include "steering/rendezvous_p.h"

#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <random>

namespace larkrack
{
/// Size and load of a modelled fleet.
struct choice_model_options
{
	bool by_completion = false;
	int keys = 900; ///< Of all regions together.
	double requests_per_s = 0.0;
	double cold_work_s = 0.36;
	double known_part = 0.3; ///< Work of a request whose key the server knows, relative to cold_work_s.
	double objective_s = 0.5;
	int slots = 6;                   ///< Of each server; it queues three times as many.
	std::size_t min_known_keys = 20; ///< Fewest keys that a server remembers.
	std::size_t max_known_keys = 33; ///< Most keys that a server remembers.
	int nodes = 9;                   ///< Entry nodes, divided among the regions.
	double key_skew = 0.6;           ///< Exponent of the Zipf distribution of the keys.
	double slow_part = 0.0;          ///< Fraction of the servers that are slow.
	double slow_factor = 2.5;
	double lasts_s = 8.0;
	double rejects_from_s = 1e9; ///< Servers reject every second request from then on
	double rejects_to_s = 1e9;   ///< until then.
	bool known_at_start = false; ///< Each key is known at its first server.
	bool reports_slowness = true;
	double reported_slowness = 0.0; ///< Above 0: what all servers report, whatever is true.
	unsigned seed = 1;
};

/// Result of one request of a caller.
struct choice_model_result
{
	double arrived_s;
	double took_s; ///< Negative: refused in the end.
};

/// Plays one fleet of 24 servers and nine nodes in three regions.
class choice_model : public warmup_sharing_base
{
public:
	explicit choice_model(const choice_model_options& _options) : m_options(_options), m_random(_options.seed)
	{
		for (int at = 0; at < k_servers; ++at)
		{
			m_servers.push_back({});
			std::uniform_int_distribution<std::size_t> memory(
			    _options.min_known_keys, _options.max_known_keys);
			m_servers.back().memory = memory(m_random);
		}
		for (int at = 0; at < m_options.nodes; ++at)
		{
			m_nodes.push_back(std::make_unique<node>());
			set_up(*m_nodes.back());
		}
		if (_options.known_at_start)
		{
			learn_all_keys();
		}
		std::vector<double> weights;
		weights.reserve(static_cast<std::size_t>(_options.keys));
		for (int key = 0; key < _options.keys; ++key)
		{
			const int rank = 1 + key / k_regions;
			weights.push_back(std::pow(rank, -_options.key_skew));
		}
		m_key_weights = std::discrete_distribution<int>(weights.begin(), weights.end());
	}

	double warmup_share(const backend_state&) const override
	{
		return 1.0;
	}

	void run()
	{
		at(0.0,
		    [this]
		    {
			    arrive();
		    });
		at(0.0,
		    [this]
		    {
			    heartbeat();
		    });
		at(0.0,
		    [this]
		    {
			    change_speeds();
		    });
		while (!m_events.empty() && m_events.top().at_s < m_options.lasts_s + k_timeout_s)
		{
			const event next = m_events.top();
			m_events.pop();
			m_now_s = next.at_s;
			next.action();
		}
	}

	/// @returns Fraction of the requests that arrived between the two times and were answered in time.
	double in_time(double _from_s, double _to_s) const
	{
		int all = 0;
		int good = 0;
		for (const choice_model_result& one : results)
		{
			if (one.arrived_s >= _from_s && one.arrived_s < _to_s)
			{
				++all;
				good += one.took_s >= 0.0 && one.took_s <= m_options.objective_s ? 1 : 0;
			}
		}
		return all > 0 ? good / static_cast<double>(all) : 0.0;
	}

	/// @returns A percentile of the times of answered requests that arrived after a time.
	double percentile(double _part, double _from_s) const
	{
		std::vector<double> times;
		for (const choice_model_result& one : results)
		{
			if (one.arrived_s >= _from_s && one.took_s >= 0.0)
			{
				times.push_back(one.took_s);
			}
		}
		std::sort(times.begin(), times.end());
		return times.empty() ? 0.0
		                     : times[static_cast<std::size_t>(_part * static_cast<double>(times.size() - 1))];
	}

	/// Replaces a server by a new incarnation that knows no key and is at usual speed.
	void restart(int _server)
	{
		m_servers[_server].known.clear();
		for (const auto& one : m_nodes)
		{
			one->states[_server]->slowness = server_slowness();
		}
	}
	/// Ends all reports of work times.
	void stop_reports()
	{
		m_options.reports_slowness = false;
	}
	/// Makes all servers of a region unusable; their keys get one place each in the last region.
	void lose_first_region()
	{
		m_lost_region = true;
		for (const auto& one : m_nodes)
		{
			for (int at = 0; at < 11; ++at)
			{
				one->states[at]->gone = true;
			}
		}
	}
	/// @returns Number of requests that were refused in the end, of those that arrived from then on.
	int refused(double _from_s) const
	{
		int count = 0;
		for (const choice_model_result& one : results)
		{
			count += one.arrived_s >= _from_s && one.took_s < 0.0 ? 1 : 0;
		}
		return count;
	}

	/// Runs an action at a time.
	void at(double _at_s, std::function<void()> _action)
	{
		m_events.push({_at_s, ++m_event_number, std::move(_action)});
	}

	std::vector<choice_model_result> results;
	int runs = 0;
	int cold_runs = 0;
	int rejected = 0;         ///< Requests that a server rejected.
	int most_at_a_server = 0; ///< Most requests that a server held.

private:
	static constexpr int k_servers = 24;
	static constexpr int k_regions = 3;
	static constexpr double k_timeout_s = 2.0;
	static constexpr double k_heartbeat_s = 0.1;
	static constexpr double k_near_s = 0.0005;
	static constexpr double k_far_s = 0.035;
	static constexpr double k_node_wait_part = 0.1;

	struct event
	{
		double at_s;
		long number;
		std::function<void()> action;
		bool operator<(const event& _other) const
		{
			return at_s != _other.at_s ? at_s > _other.at_s : number > _other.number;
		}
	};

	struct request
	{
		std::uint64_t key = 0;
		int region = 0;
		int node = 0;
		double first_s = 0.0;   ///< Arrival of the first attempt of the caller.
		double arrived_s = 0.0; ///< Arrival at this node.
		bool returned = false;  ///< The caller has retried.
		bool queued = false;
		bool own = true; ///< Sent to a server of the key.
		double sent_s = 0.0;
		double slowness = 1.0;
		bool in_queue = false;
		std::vector<backend_id> tried;
		std::vector<backend_id> again;
		int attempts = 0;
	};
	using request_ptr = std::shared_ptr<request>;

	struct server
	{
		int running = 0;
		std::deque<std::function<void()>> waiting;
		std::list<std::uint64_t> known; ///< Most recent first.
		std::size_t memory = 0;         ///< Keys that it remembers.
		double slowness = 1.0;
		bool rejected_last = false;
	};

	struct node
	{
		std::vector<std::unique_ptr<backend_state>> states;
		std::vector<backend_state*> candidates;
		std::deque<request_ptr> waiting;
		completion_choice completion;
		key_frequency keys;
		double retry_tokens = 2.0;
		bool retrying = false;
	};

	static int region_of_server(int _server)
	{
		return _server < 11 ? 0 : _server < 13 ? 1 : 2;
	}
	static region_name name_of_region(int _region)
	{
		return region_name("r" + std::to_string(_region));
	}
	static int region_of_key(std::uint64_t _key)
	{
		const double position = unit_interval(rendezvous_weight("region", _key));
		return region_of_server(std::min(k_servers - 1, static_cast<int>(position * k_servers)));
	}
	static double one_way_s(const request& _request)
	{
		return _request.node % k_regions == _request.region ? k_near_s : k_far_s;
	}
	steady_time now() const
	{
		return steady_time(std::chrono::seconds(1000)) +
		       std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(m_now_s));
	}

	void set_up(node& _node)
	{
		for (int at = 0; at < k_servers; ++at)
		{
			auto state = std::make_unique<backend_state>();
			state->registered.id = backend_id("server-" + std::to_string(at));
			state->registered.slots = m_options.slots;
			state->region = name_of_region(region_of_server(at));
			state->id_hash = short_hash(state->registered.id.text);
			_node.candidates.push_back(state.get());
			_node.states.push_back(std::move(state));
		}
	}

	void learn_all_keys()
	{
		for (int key = m_options.keys; key > 0; --key)
		{
			const int region = region_of_key(key);
			int first = -1;
			double best = 2.0;
			for (int at = 0; at < k_servers; ++at)
			{
				const double rank = unit_interval(rendezvous_weight("server-" + std::to_string(at), key));
				if (region == region_of_server(at) && rank < best)
				{
					best = rank;
					first = at;
				}
			}
			learn(m_servers[first], key);
		}
	}

	bool learn(server& _server, std::uint64_t _key) const
	{
		const auto found = std::find(_server.known.begin(), _server.known.end(), _key);
		const bool knew = _server.known.end() != found;
		if (knew)
		{
			_server.known.erase(found);
		}
		_server.known.push_front(_key);
		if (_server.known.size() > _server.memory)
		{
			_server.known.pop_back();
		}
		return knew;
	}

	void arrive()
	{
		if (m_now_s >= m_options.lasts_s)
		{
			return;
		}
		auto made = std::make_shared<request>();
		made->key = static_cast<std::uint64_t>(m_key_weights(m_random)) + 1;
		made->region = region_of_key(made->key);
		made->region = m_lost_region && 0 == made->region ? k_regions - 1 : made->region;
		made->first_s = m_now_s;
		made->node = static_cast<int>(m_random() % m_options.nodes);
		take(made);
		std::exponential_distribution<double> pause(m_options.requests_per_s);
		at(m_now_s + pause(m_random),
		    [this]
		    {
			    arrive();
		    });
	}

	void take(const request_ptr& _request)
	{
		_request->arrived_s = m_now_s;
		node& own = *m_nodes[_request->node];
		own.retry_tokens = std::min(4.0, own.retry_tokens + 0.2);
		own.keys.count({_request->key});
		if (try_send(_request))
		{
			return;
		}
		_request->in_queue = true;
		own.waiting.push_back(_request);
		at(m_now_s + k_node_wait_part * m_options.objective_s,
		    [this, _request]
		    {
			    if (_request->in_queue)
			    {
				    remove(_request);
				    refuse(_request);
			    }
		    });
	}

	void remove(const request_ptr& _request)
	{
		std::deque<request_ptr>& waiting = m_nodes[_request->node]->waiting;
		waiting.erase(std::find(waiting.begin(), waiting.end(), _request));
		_request->in_queue = false;
	}

	void refuse(const request_ptr& _request)
	{
		std::uniform_real_distribution<double> after(0.3, 0.8);
		const double pause_s = after(m_random);
		const double left_s = k_timeout_s - (m_now_s - _request->first_s);
		if (_request->returned || pause_s > left_s / 3.0)
		{
			results.push_back({_request->first_s, -1.0});
			return;
		}
		auto again = std::make_shared<request>();
		again->key = _request->key;
		again->region = _request->region;
		again->first_s = _request->first_s;
		again->returned = true;
		at(m_now_s + pause_s,
		    [this, again]
		    {
			    again->node = static_cast<int>(m_random() % m_options.nodes);
			    take(again);
		    });
	}

	bool try_send(const request_ptr& _request)
	{
		node& own = *m_nodes[_request->node];
		backend_query query;
		query.candidates = &own.candidates;
		query.region = name_of_region(_request->region);
		query.own_region = name_of_region(_request->node % k_regions);
		query.key = {_request->key};
		query.key_share = own.keys.frequency_of(query.key);
		query.own_portion = {_request->node / static_cast<double>(m_options.nodes),
		    (_request->node + 1) / static_cast<double>(m_options.nodes)};
		query.tried = &_request->tried;
		query.may_try_again = &_request->again;
		query.time_left_s = m_options.objective_s - (m_now_s - _request->arrived_s);
		query.distance_s = 2.0 * one_way_s(*_request);
		if (m_options.by_completion)
		{
			query.rule = &own.completion;
		}
		const backend_choice choice = choose_backend(query, *this, now());
		if (nullptr == choice.backend)
		{
			return false;
		}
		send(_request, *choice.backend, choice.why);
		return true;
	}

	void send(const request_ptr& _request, backend_state& _state, backend_choice_reason _why)
	{
		const node& own = *m_nodes[_request->node];
		const int server_number = static_cast<int>(
		    std::find(own.candidates.begin(), own.candidates.end(), &_state) - own.candidates.begin());
		_request->own = backend_choice_reason::preferred_for_key == _why;
		_request->queued = _state.estimated_load(now()) >= _state.registered.slots;
		_request->slowness = _state.slowness.factor(now());
		_request->sent_s = m_now_s;
		_request->tried.push_back(_state.registered.id);
		++_request->attempts;
		++_state.load.in_flight;
		at(m_now_s + one_way_s(*_request),
		    [this, _request, &_state, server_number]
		    {
			    reach(_request, _state, server_number);
		    });
	}

	void reach(const request_ptr& _request, backend_state& _state, int _server)
	{
		server& taken = m_servers[_server];
		const bool rejects = m_now_s >= m_options.rejects_from_s && m_now_s < m_options.rejects_to_s;
		if (rejects)
		{
			taken.rejected_last = !taken.rejected_last;
		}
		const bool full = taken.running + static_cast<int>(taken.waiting.size()) >= 4 * m_options.slots;
		if (full || (rejects && taken.rejected_last))
		{
			++rejected;
			answer(_request, _state, _server, false);
			return;
		}
		const auto begin = [this, _request, &_state, _server]
		{
			work(_request, _state, _server);
		};
		if (taken.running < m_options.slots)
		{
			++taken.running;
			begin();
		}
		else
		{
			taken.waiting.push_back(begin);
		}
		most_at_a_server = std::max(most_at_a_server, taken.running + static_cast<int>(taken.waiting.size()));
	}

	void work(const request_ptr& _request, backend_state& _state, int _server)
	{
		server& runs_it = m_servers[_server];
		const bool knew = learn(runs_it, _request->key);
		++runs;
		cold_runs += knew ? 0 : 1;
		std::uniform_real_distribution<double> spread(0.8, 1.2);
		const double work_s = m_options.cold_work_s * (knew ? m_options.known_part : 1.0) * spread(m_random);
		at(m_now_s + work_s * runs_it.slowness,
		    [this, _request, &_state, _server]
		    {
			    server& ended = m_servers[_server];
			    --ended.running;
			    answer(_request, _state, _server, true);
			    if (!ended.waiting.empty())
			    {
				    const auto next = ended.waiting.front();
				    ended.waiting.pop_front();
				    ++ended.running;
				    next();
			    }
		    });
	}

	void answer(const request_ptr& _request, backend_state& _state, int _server, bool _ran)
	{
		const server& from = m_servers[_server];
		const backend_load load{from.running, static_cast<int>(from.waiting.size()), m_options.slots};
		const double slowness =
		    m_options.reported_slowness > 0.0 ? m_options.reported_slowness : from.slowness;
		at(m_now_s + one_way_s(*_request),
		    [this, _request, &_state, load, slowness, _ran]
		    {
			    --_state.load.in_flight;
			    _state.load.on_report(load, now());
			    if (m_options.reports_slowness)
			    {
				    _state.slowness.on_report(slowness, now());
			    }
			    end(_request, _state, load, _ran);
		    });
	}

	void end(const request_ptr& _request, backend_state& _state, const backend_load& _load, bool _ran)
	{
		node& own = *m_nodes[_request->node];
		const bool reports_room = m_options.by_completion && _load.has_free_slot();
		_state.on_exchange_end(_ran ? backend_signal::answered : backend_signal::refused, now(),
		    reports_room ? refusal_report::slots_free : refusal_report::none);
		if (_ran)
		{
			own.completion.works.on_answer({_request->own, _request->queued, _request->slowness,
			    m_now_s - _request->sent_s - 2.0 * one_way_s(*_request)});
			results.push_back({_request->first_s, m_now_s - _request->first_s});
		}
		else
		{
			if (reports_room && !is_among(_state, &_request->again))
			{
				_request->again.push_back(_state.registered.id);
			}
			else
			{
				_request->again.clear();
			}
			const bool may_retry = _request->attempts < 3 && own.retry_tokens >= 1.0;
			own.retry_tokens -= may_retry ? 1.0 : 0.0;
			if (!may_retry || !try_send(_request))
			{
				refuse(_request);
			}
		}
		retry_waiting(own);
	}

	void retry_waiting(node& _node)
	{
		if (_node.retrying)
		{
			return;
		}
		_node.retrying = true;
		while (!_node.waiting.empty() && try_send(_node.waiting.front()))
		{
			_node.waiting.front()->in_queue = false;
			_node.waiting.pop_front();
		}
		_node.retrying = false;
	}

	void heartbeat()
	{
		for (int at = 0; at < k_servers; ++at)
		{
			int all = 0;
			for (const auto& one : m_nodes)
			{
				all += one->states[at]->load.in_flight;
			}
			for (const auto& one : m_nodes)
			{
				one->states[at]->load.in_flight_elsewhere = all - one->states[at]->load.in_flight;
			}
		}
		for (const auto& one : m_nodes)
		{
			retry_waiting(*one);
		}
		at(m_now_s + k_heartbeat_s,
		    [this]
		    {
			    heartbeat();
		    });
	}

	void change_speeds()
	{
		for (server& one : m_servers)
		{
			std::bernoulli_distribution slow(m_options.slow_part);
			one.slowness = slow(m_random) ? m_options.slow_factor : 1.0;
		}
		at(m_now_s + 0.6,
		    [this]
		    {
			    change_speeds();
		    });
	}

	choice_model_options m_options;
	std::mt19937 m_random;
	std::discrete_distribution<int> m_key_weights;
	std::vector<server> m_servers;
	std::vector<std::unique_ptr<node>> m_nodes;
	std::priority_queue<event> m_events;
	bool m_lost_region = false;
	long m_event_number = 0;
	double m_now_s = 0.0;
};
} // namespace larkrack
