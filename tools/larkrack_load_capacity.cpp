// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Slopes behind docs/CAPACITY.md: look-up table, control messages and their cost, records, each at several
/// sizes.

#include "larkrack_load_p.h"

#include "config_book_p.h"
#include "lookup_p.h"
#include "membership_p.h"
#include "message_p.h"

#include <ctime>
#include <fstream>
#include <iostream>

namespace larkrack
{
namespace
{
constexpr int k_domains = 7;
constexpr int k_sites = 130;
constexpr std::size_t k_lookups = 2000000;
constexpr std::size_t k_blocks_of_shard = 40000;

double cpu_seconds()
{
	timespec now{};
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

double resident_mb()
{
	std::ifstream file("/proc/self/statm");
	double pages = 0.0;
	file >> pages >> pages;
	constexpr double k_page_mb = 4096.0 / 1048576.0;
	return pages * k_page_mb;
}

std::vector<client_block> random_blocks(std::size_t _count, std::mt19937_64& _random)
{
	std::vector<client_block> blocks;
	blocks.reserve(_count);
	for (std::size_t at = 0; at < _count; ++at)
	{
		client_block block;
		// One in ten is IPv6, as /48; the others are /20 to /24.
		block.v6 = 0 == at % 10;
		block.bits = static_cast<std::uint8_t>(block.v6 ? 48 : 20 + _random() % 5);
		if (block.v6)
		{
			block.first.high = (std::uint64_t{0x2001} << 48) | ((_random() & 0xffffffffULL) << 16);
		}
		else
		{
			block.first.low = (_random() & 0xffffffffULL) & ~((std::uint64_t{1} << (32 - block.bits)) - 1);
		}
		block.site = {static_cast<std::uint16_t>(_random() % k_sites)};
		blocks.push_back(block);
	}
	return blocks;
}

void measure_table(std::size_t _count)
{
	std::mt19937_64 random(7);
	std::vector<client_block> blocks = random_blocks(_count, random);
	std::vector<boost::asio::ip::address> addresses;
	for (std::size_t at = 0; at < 100000; ++at)
	{
		addresses.emplace_back(boost::asio::ip::make_address_v4(static_cast<std::uint32_t>(random())));
	}
	const double before_build = cpu_seconds();
	const auto table = std::make_shared<const lookup_table>(std::move(blocks));
	const double built = cpu_seconds() - before_build;
	std::uint64_t sum = 0;
	const double before = cpu_seconds();
	for (std::size_t at = 0; at < k_lookups; ++at)
	{
		sum += table->find(addresses[at % addresses.size()]).idx;
	}
	const double took = cpu_seconds() - before;
	std::shared_ptr<const lookup_table> shown;
	const auto swap_from = std::chrono::steady_clock::now();
	std::atomic_store(&shown, table);
	const auto swap_ns =
	    std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - swap_from);
	std::cout << nlohmann::json({{"slope", "lookup_table"}, {"blocks", _count},
	                 {"bytes_per_block", static_cast<double>(table->bytes()) / static_cast<double>(_count)},
	                 {"lookup_ns", 1e9 * took / k_lookups}, {"build_s", built}, {"swap_ns", swap_ns.count()},
	                 {"check", sum}})
	          << std::endl;
}

/// Configuration with a number of nodes and blocks, as every node holds it.
config_state configuration_of(int _nodes, std::size_t _blocks)
{
	config_state state;
	state.rev = {1};
	const auto put = [&](const std::string& _key, const nlohmann::json& _spec)
	{
		state.resources[_key] = {_spec.dump(), {1}, "capacity"};
	};
	for (int domain = 0; domain < k_domains; ++domain)
	{
		put("region/r" + std::to_string(domain % 3), nlohmann::json::object());
		put("domain/d" + std::to_string(domain), {{"region", "r" + std::to_string(domain % 3)}});
	}
	for (int site = 0; site < k_sites; ++site)
	{
		put("site/s" + std::to_string(site), {{"domain", "d" + std::to_string(site % k_domains)}});
	}
	for (int node = 0; node < _nodes; ++node)
	{
		put("entry_vm/vm" + std::to_string(node),
		    {{"domain", "d" + std::to_string(node % k_domains)}, {"callers", "127.0.0.1:1"},
		        {"relay", "127.0.0.1:2"}, {"peers", "127.0.0.1:3"}});
	}
	put("service/shop", nlohmann::json::object());
	std::mt19937_64 random(9);
	nlohmann::json shard = nlohmann::json::object();
	for (std::size_t at = 0; at < _blocks; ++at)
	{
		const auto address =
		    boost::asio::ip::make_address_v4(static_cast<std::uint32_t>(random() & 0xffffff00));
		shard[address.to_string() + "/24"] = "s" + std::to_string(random() % k_sites);
		if (k_blocks_of_shard == shard.size() || at + 1 == _blocks)
		{
			put("client_blocks/shard-" + std::to_string(at / k_blocks_of_shard), {{"blocks", shard}});
			shard = nlohmann::json::object();
		}
	}
	return state;
}

void measure_configuration(int _nodes, std::size_t _blocks)
{
	const double memory_before = resident_mb();
	config_state state = configuration_of(_nodes, _blocks);
	std::size_t text = 0;
	for (const auto& [key, value] : state.resources)
	{
		text += key.size() + value.spec.size();
	}
	const std::size_t wire = encode({"x", message_config{{0}, state.rev, state.resources, {}}}).size();
	config_book book;
	const double before = cpu_seconds();
	book.take(state);
	const double whole_s = cpu_seconds() - before;
	config_state next = state;
	next.rev = {2};
	next.resources["service/shop"].rev = {2};
	const double before_change = cpu_seconds();
	book.take(std::move(next));
	const double change_s = cpu_seconds() - before_change;
	const std::size_t delta = encode({"x", book.since({1})}).size();
	std::cout << nlohmann::json({{"slope", "configuration"}, {"nodes", _nodes}, {"blocks", _blocks},
	                 {"text_bytes", text}, {"transfer_bytes", wire}, {"delta_bytes", delta},
	                 {"take_whole_s", whole_s}, {"take_change_s", change_s},
	                 {"resident_mb", resident_mb() - memory_before}})
	          << std::endl;
}

/// Runs the membership of a whole fleet on a virtual clock and counts what one node sends and takes.
void measure_membership(int _nodes)
{
	clock_virtual clock;
	std::vector<member_config> all;
	all.reserve(static_cast<std::size_t>(_nodes));
	for (int node = 0; node < _nodes; ++node)
	{
		all.push_back({"vm" + std::to_string(node),
		    "d" + std::to_string(node % std::min(k_domains, std::max(1, _nodes / 2)))});
	}
	std::map<std::string, std::unique_ptr<membership>> fleet;
	for (const member_config& one : all)
	{
		auto node = std::make_unique<membership>(one.vm, one.domain, incarnation{1});
		node->configure(all);
		node->self().loads["cuenta"] = {36, 20, 0, 0, 36};
		node->self().loads["taller"] = {6, 3, 0, 0, 6};
		fleet[one.vm] = std::move(node);
	}
	// News of a large fleet take a while to come round.
	const int warm_s = _nodes <= 100 ? 20 : 100;
	constexpr int k_measured_s = 20;
	std::map<std::string, double> messages;
	std::map<std::string, double> bytes;
	double cpu = 0.0;
	for (int step = 0; step < 20 * (warm_s + k_measured_s); ++step)
	{
		clock.advance(std::chrono::milliseconds(50));
		const bool counted = 20 * warm_s <= step;
		const double before = cpu_seconds();
		for (auto& [name, node] : fleet)
		{
			for (const heartbeat& one : node->tick(clock.steady()))
			{
				const auto packed = encode({name, message_heartbeat{one.entries}});
				const auto read = decode(std::string(packed.begin(), packed.end()));
				fleet[one.to]->receive(
				    std::get<message_heartbeat>(std::get<envelope>(read).body).entries, clock.steady());
				messages[name] += counted ? 1.0 : 0.0;
				bytes[name] += counted ? static_cast<double>(packed.size()) : 0.0;
				bytes[one.to] += counted ? static_cast<double>(packed.size()) : 0.0;
			}
		}
		cpu += counted ? cpu_seconds() - before : 0.0;
	}
	double most = 0.0;
	double sum = 0.0;
	double sent = 0.0;
	for (const auto& [name, count] : bytes)
	{
		most = std::max(most, count);
		sum += count;
		sent += messages[name];
	}
	int known = 0;
	for (const auto& [name, node] : fleet)
	{
		for (const member_config& one : all)
		{
			known += member_state::alive == node->state_of(one.vm, clock.steady()) ? 1 : 0;
		}
	}
	std::cout << nlohmann::json({{"slope", "membership"}, {"nodes", _nodes},
	                 {"messages_sent_s", sent / _nodes / k_measured_s},
	                 {"bytes_s_mean", sum / _nodes / k_measured_s}, {"bytes_s_most", most / k_measured_s},
	                 {"cpu_share", cpu / _nodes / k_measured_s},
	                 {"known_alive", static_cast<double>(known) / _nodes / _nodes}})
	          << std::endl;
}
} // namespace

void measure_capacity()
{
	for (const std::size_t blocks : {10000UL, 100000UL, 300000UL, 1100000UL})
	{
		measure_table(blocks);
	}
	for (const int nodes : {3, 9, 30, 100, 200, 460})
	{
		measure_membership(nodes);
	}
	measure_configuration(9, 0);
	measure_configuration(460, 0);
	measure_configuration(460, 100000);
	measure_configuration(460, 300000);
	measure_configuration(460, 1100000);
}
} // namespace larkrack
