// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/rollouts_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Time between two reports to the deciding nodes. With a longer interval, a bad version serves
/// requests for longer. A shorter one sends more datagrams (up to 1 KB each, from each node, during a
/// rollout).
constexpr std::chrono::milliseconds k_report_interval{500};
/// Time after which the write of a state that did not take effect is repeated.
constexpr std::chrono::milliseconds k_write_retry{1000};
/// Maximum number of nodes whose reports a deciding node keeps; more than any fleet has nodes.
constexpr std::size_t k_max_reports = 10000;

const char* text_of(rollout_state _state)
{
	switch (_state)
	{
	case rollout_state::running:
		return "running";
	case rollout_state::complete:
		return "complete";
	case rollout_state::rolled_back:
		break;
	}
	return "rolled_back";
}

const char* text_of(rollout_reason _reason, const rollout_verdict& _verdict)
{
	switch (_reason)
	{
	case rollout_reason::ordered:
		return "ordered";
	case rollout_reason::no_requests:
		return "no_request_ended_there";
	case rollout_reason::not_found_bad:
		return "nothing_found";
	case rollout_reason::found_bad:
		break;
	}
	return verdict_reason::slow == _verdict.reason ? "slow" : "failures";
}
} // namespace

rollouts::rollouts(const clock_base& _clock, const fleet_view_base& _fleet, const backend_registry& _backends,
    double _max_exposed, const node_name& _self, std::uint64_t _incarnation, entry_log& _log, sender _send,
    writer _write)
    : m_clock(_clock), m_fleet(_fleet), m_backends(_backends), m_max_exposed(_max_exposed),
      m_self(short_hash(_self.text)), m_incarnation(_incarnation), m_log(_log), m_send(std::move(_send)),
      m_write(std::move(_write))
{
}

std::optional<rollout_state> rollouts::stored_state(const rollout& _rollout) const
{
	const auto status = m_statuses.find(_rollout.order.service);
	const bool known = m_statuses.end() != status && is_status_of(status->second, _rollout.order);
	return known ? std::optional(status->second.state) : std::nullopt;
}

bool rollouts::may_expose(const rollout& _rollout) const
{
	const live_node_counts nodes = m_fleet.live_nodes();
	const bool isolated = nodes.most > 1.0 && nodes.live <= 1.0; // This node would not learn of a verdict.
	const bool expired = m_clock.steady() - _rollout.known_at >= _rollout.order.duration;
	return !_rollout.own_bad && !_rollout.bad_since && !isolated && !expired;
}

version_rule rollouts::rule_for(const service_name& _service, double _position)
{
	const auto it = m_rollouts.find(_service);
	if (m_rollouts.end() == it)
	{
		return {};
	}
	rollout& known = it->second;
	const version_name& target = known.order.target;
	const std::optional<rollout_state> stored = stored_state(known);
	if (rollout_state::rolled_back == stored)
	{
		return {version_side::others, target};
	}
	if (rollout_state::complete == stored)
	{
		return {known.target_available ? version_side::target : version_side::any, target};
	}
	const bool exposed = may_expose(known) && known.share.next(_position);
	return {exposed ? version_side::target : version_side::others, target};
}

void rollouts::on_attempt_end(const version_attempt& _attempt)
{
	const auto it = m_rollouts.find(_attempt.service);
	if (m_rollouts.end() == it)
	{
		return;
	}
	rollout& known = it->second;
	route_evidence& evidence = evidence_of(known.own, _attempt.route);
	version_counts& side = _attempt.version == known.order.target ? evidence.target : evidence.others;
	++side.ended;
	side.failed += _attempt.failed ? 1 : 0;
	if (_attempt.time)
	{
		side.count_time(*_attempt.time);
	}
}

void rollouts::on_order(const rollout_order& _order)
{
	const auto known = m_rollouts.find(_order.service);
	if (m_rollouts.end() != known && known->second.order.revision >= _order.revision)
	{
		return;
	}
	rollout started;
	started.order = _order;
	started.known_at = m_clock.steady();
	started.share = rollout_share(m_max_exposed);
	started.target_available = is_target_available(_order);
	m_rollouts[_order.service] = std::move(started);
}

void rollouts::on_order_removed(const service_name& _service)
{
	m_rollouts.erase(_service);
}

void rollouts::on_status(const rollout_status& _status)
{
	rollout_status& known = m_statuses[_status.service];
	if (known.revision >= _status.revision)
	{
		return;
	}
	known = _status;
	m_log.write(log_line(event::rollout_changed)
	                .text("service", _status.service.text)
	                .text("target", _status.target.text)
	                .text("state", text_of(_status.state))
	                .number("revision", _status.revision));
}

void rollouts::on_status_removed(const service_name& _service)
{
	m_statuses.erase(_service);
}

void rollouts::on_refused(const std::string& _key, const error& _why)
{
	m_log.write(log_line(event::rollout_refused).text("key", _key).text("why", _why.message));
}

void rollouts::on_report(const rollout_report& _report)
{
	const auto it = m_rollouts.find(_report.service);
	if (m_rollouts.end() == it || it->second.order.revision != _report.order_revision)
	{
		return;
	}
	rollout& reported = it->second;
	const auto known = reported.reports.find(_report.sender);
	const bool outdated = reported.reports.end() != known &&
	                      known->second.incarnation == _report.incarnation &&
	                      known->second.passed >= _report.passed;
	if (outdated || (reported.reports.end() == known && reported.reports.size() >= k_max_reports))
	{
		return;
	}
	reported.reports[_report.sender] = _report;
	// The sender may have learned of the order before this node did. A reported time that exceeds the
	// duration of the order is limited to that duration.
	const std::chrono::milliseconds passed = std::min(_report.passed, reported.order.duration);
	reported.known_at = std::min(reported.known_at, m_clock.steady() - passed);
}

bool rollouts::is_target_available(const rollout_order& _order) const
{
	const std::vector<backend_state*>& all = m_backends.of_service(_order.service);
	return std::any_of(all.begin(), all.end(),
	    [&_order](const backend_state* _backend)
	    {
		    return _backend->registered.version == _order.target && _backend->accepts_new_requests();
	    });
}

rollout_evidence rollouts::evidence_of_all(const rollout& _rollout) const
{
	rollout_evidence sum = _rollout.own;
	for (const auto& [sender, report] : _rollout.reports)
	{
		add_evidence(sum, report.evidence);
	}
	return sum;
}

decider_rank rollouts::rank_of(const responsible_nodes& _deciders) const
{
	if (_deciders.first.ip.empty())
	{
		return decider_rank::first;
	}
	const bool is_backup = 0 != _deciders.backup.name_hash && _deciders.backup.ip.empty();
	return is_backup ? decider_rank::backup : decider_rank::none;
}

void rollouts::report(rollout& _rollout, const responsible_nodes& _deciders)
{
	const steady_time now = m_clock.steady();
	if (now < _rollout.next_report)
	{
		return;
	}
	_rollout.next_report = now + k_report_interval;
	rollout_report message;
	message.service = _rollout.order.service;
	message.order_revision = _rollout.order.revision;
	message.sender = m_self;
	message.incarnation = m_incarnation;
	message.passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - _rollout.known_at);
	message.evidence = _rollout.own;
	const std::vector<std::uint8_t> bytes = encode(message);
	for (const responsible_node* decider : {&_deciders.first, &_deciders.backup})
	{
		if (!decider->ip.empty())
		{
			m_send(bytes, decider->ip);
		}
	}
}

void rollouts::write(rollout& _rollout, const rollout_step& _step, const rollout_evidence& _evidence,
    const rollout_verdict& _verdict)
{
	const steady_time now = m_clock.steady();
	if (now < _rollout.next_write)
	{
		return;
	}
	_rollout.next_write = now + k_write_retry;
	route_evidence total;
	for (const auto& [route, evidence] : _evidence)
	{
		total.target.add(evidence.target);
		total.others.add(evidence.others);
	}
	m_log.write(log_line(event::rollout_decided)
	                .text("service", _rollout.order.service.text)
	                .text("target", _rollout.order.target.text)
	                .text("state", text_of(_step.state))
	                .text("why", text_of(_step.reason, _verdict))
	                .text("route", _verdict.route)
	                .number("target_ended", total.target.ended)
	                .number("target_failed", total.target.failed)
	                .number("others_ended", total.others.ended)
	                .number("others_failed", total.others.failed));
	const auto known = m_statuses.find(_rollout.order.service);
	m_write({_rollout.order.service, _rollout.order.target, _step.state, 0},
	    m_statuses.end() == known ? 0 : known->second.revision);
}

void rollouts::decide(rollout& _rollout, decider_rank _rank)
{
	const steady_time now = m_clock.steady();
	const rollout_evidence evidence = evidence_of_all(_rollout);
	rollout_view view;
	view.written = stored_state(_rollout);
	view.passed = now - _rollout.known_at;
	view.verdict = judge_version(evidence);
	view.rank = _rank;
	if (view.verdict.is_bad() && !_rollout.bad_since)
	{
		_rollout.bad_since = now; // From now on this node sends the target no requests, written or not.
	}
	view.bad_for = _rollout.bad_since ? now - *_rollout.bad_since : steady_time::duration{};
	for (const auto& [route, counts] : evidence)
	{
		view.ended_at_target += counts.target.ended;
	}
	if (const std::optional<rollout_step> step = plan_rollout(_rollout.order, view))
	{
		write(_rollout, *step, evidence, view.verdict);
	}
}

void rollouts::tick()
{
	for (auto& [service, current] : m_rollouts)
	{
		current.target_available = is_target_available(current.order);
		const std::optional<rollout_state> stored = stored_state(current);
		if (stored && rollout_state::running != *stored)
		{
			continue;
		}
		current.own_bad = current.own_bad || judge_version(current.own).is_bad();
		const responsible_nodes deciders = m_fleet.responsible_for(rendezvous_weight(service.text, 0));
		report(current, deciders);
		const decider_rank rank = rank_of(deciders);
		if (decider_rank::none != rank)
		{
			decide(current, rank);
		}
	}
}
} // namespace larkrack
