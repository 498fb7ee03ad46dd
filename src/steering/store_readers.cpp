// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/store_readers_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace larkrack
{
namespace
{
/// Number of nodes of a region that read the store. More: more calls, each of which has a price. Fewer: when
/// some fail, the others get no changes. Three instead of four, together with collected changes: prices 0.181
/// to 0.155 on a quiet day of 80 nodes (docs/DESIGN.md, "State"); two change nothing beyond the error.
constexpr std::size_t k_region_readers = 3;
/// Milliseconds for which a node waits for datagrams before it asks another node. Longer: a lost datagram is
/// replaced later. Shorter: nodes ask for changes that are already on their way.
constexpr std::chrono::milliseconds k_catch_up_delay{60};
/// Maximum doublings of that wait while a newer configuration is unavailable, or refused by this node. More:
/// the configuration arrives later. Fewer: more calls in vain.
constexpr int k_max_catch_up_doublings = 4;
/// Wait of a node that reads the store itself, in milliseconds: its own watch delivers the change soon,
/// within the time for which changes are collected (k_batch_delay).
constexpr std::chrono::milliseconds k_reader_catch_up_delay{400};
/// Maximum of that wait in milliseconds, also for a reader. Longer: a configuration that could not be fetched
/// for a while arrives later than permitted. Shorter: more calls in vain.
constexpr std::chrono::milliseconds k_max_config_catch_up_delay{1000};
/// Milliseconds of silence after which a node counts itself, or its failure domain, as cut off from the
/// readers of its region. Longer: changes arrive later there. Shorter: a few lost datagrams make a small
/// fleet open more watches.
constexpr std::chrono::milliseconds k_reader_isolation_timeout{1000};
/// @returns The node to ask among those that meet the condition: of this node's failure domain if possible,
/// else of its region, else any.
template <typename Condition>
const node_heartbeat* choose_node(
    const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live, const Condition& _condition)
{
	const std::uint64_t draw = rendezvous_weight(_self.node.text, _self.sequence);
	const auto order = [&](const node_heartbeat& _node)
	{
		return std::make_tuple(_node.region == _self.region, _node.domain == _self.domain,
		    rendezvous_weight(_node.node.text, draw));
	};
	const node_heartbeat* chosen = nullptr;
	for (const node_heartbeat* node : _live)
	{
		if (_condition(*node) && (nullptr == chosen || order(*node) > order(*chosen)))
		{
			chosen = node;
		}
	}
	return chosen;
}
} // namespace

reader_scope plan_reader_scope(steady_time::duration _silence, steady_time::duration _outside_silence)
{
	if (_silence > k_reader_isolation_timeout)
	{
		return reader_scope::alone;
	}
	return _outside_silence > k_reader_isolation_timeout ? reader_scope::failure_domain
	                                                     : reader_scope::region;
}

reader_decision plan_reader(const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live)
{
	const auto order = [](const node_heartbeat& _node)
	{
		return std::make_pair(_node.store_reached, rendezvous_weight(_node.node.text, 0));
	};
	const auto own_order = order(_self);
	std::size_t rank = 0;
	std::size_t candidates = 1;
	for (const node_heartbeat* node : _live)
	{
		const bool may_read = node->region == _self.region && node_state::stopping != node->state;
		candidates += may_read ? 1 : 0;
		rank += may_read && order(*node) > own_order ? 1 : 0;
	}
	const bool reads = rank < k_region_readers;
	return {reads, reads ? reader_reason::ranks_first : reader_reason::others_read, rank,
	    std::min(candidates, k_region_readers)};
}

bool all_nodes_read(std::size_t _others)
{
	return _others < k_region_readers;
}

std::chrono::milliseconds catch_up_delay(bool _reads)
{
	return _reads ? k_reader_catch_up_delay : k_catch_up_delay;
}

std::chrono::milliseconds config_catch_up_delay(bool _reads, int _tries)
{
	const std::chrono::milliseconds delay =
	    catch_up_delay(_reads) * (1 << std::min(_tries, k_max_catch_up_doublings));
	return std::min(delay, k_max_config_catch_up_delay);
}

const node_heartbeat* choose_peer(const node_heartbeat& _self, std::int64_t _store_revision,
    const std::vector<const node_heartbeat*>& _live)
{
	return choose_node(_self, _live,
	    [_store_revision](const node_heartbeat& _node)
	    {
		    return _node.store_revision > _store_revision;
	    });
}

const node_heartbeat* choose_config_peer(const node_heartbeat& _self, std::uint64_t _config_version,
    const std::vector<const node_heartbeat*>& _live)
{
	return choose_node(_self, _live,
	    [_config_version](const node_heartbeat& _node)
	    {
		    return _node.config_version > _config_version;
	    });
}
} // namespace larkrack
