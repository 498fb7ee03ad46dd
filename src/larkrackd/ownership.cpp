// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/ownership_p.h"

#include "larkrackd/hash_p.h"

#include <algorithm>

namespace larkrack
{
std::map<std::string, std::string> plan_owners(const std::string& _domain, const std::string& _service,
    const std::vector<std::string>& _backends, const std::set<std::string>& _candidates, std::size_t _owners)
{
	const std::vector<std::string> owners =
	    rendezvous_first(_domain + "/" + _service, {_candidates.begin(), _candidates.end()}, _owners);
	std::map<std::string, std::string> wanted;
	for (std::size_t at = 0; at < _backends.size() && !owners.empty(); ++at)
	{
		wanted[_backends[at]] = owners[at % owners.size()];
	}
	return wanted;
}

bool is_releasing(const owner_entry& _entry, const std::string& _backend,
    const std::map<std::string, std::string>& _wanted, const owner_facts& _facts)
{
	if (_entry.vm != _facts.self || !(_entry.life == _facts.life))
	{
		return false;
	}
	const auto it = _wanted.find(_backend);
	if (_wanted.end() == it)
	{
		// A holder in a planned stop releases its backend servers even without a successor, so that the next
		// owner need not wait.
		return _facts.self_leaving;
	}
	return it->second != _facts.self;
}

std::optional<owner_record> next_owners(
    const owner_record& _record, const std::map<std::string, std::string>& _wanted, const owner_facts& _facts)
{
	owner_record next = _record;
	bool changed = false;
	for (const auto& [backend, wanted] : _wanted)
	{
		owner_entry& entry = next.backends[backend];
		const bool held_here = entry.vm == _facts.self;
		const bool in_this_incarnation = held_here && entry.life == _facts.life;
		if (in_this_incarnation || wanted != _facts.self)
		{
			continue;
		}
		const bool free = entry.vm.empty();
		const bool holder_is_gone = held_here || 0 < _facts.gone.count(entry.vm);
		if (!free && !holder_is_gone)
		{
			continue;
		}
		const wall_time full_until = free ? entry.full_until : _facts.now + _facts.max_run_time;
		entry = {_facts.self, _facts.life, std::max(entry.full_until, full_until)};
		changed = true;
	}
	for (auto& [backend, entry] : next.backends)
	{
		if (!is_releasing(entry, backend, _wanted, _facts))
		{
			continue;
		}
		const auto running = _facts.running.find(backend);
		if (_facts.running.end() == running || 0 == running->second)
		{
			entry.vm.clear();
			changed = true;
		}
	}
	if (!changed)
	{
		return std::nullopt;
	}
	++next.sequence;
	return next;
}

std::string to_text(const owner_record& _record)
{
	nlohmann::json backends = nlohmann::json::object();
	for (const auto& [name, entry] : _record.backends)
	{
		backends[name] = {
		    {"vm", entry.vm}, {"life", entry.life.value}, {"full_until_us", to_us(entry.full_until)}};
	}
	return nlohmann::json({{"seq", _record.sequence}, {"backends", backends}}).dump();
}

owner_record owners_from_text(const std::string& _text)
{
	owner_record record;
	// The text is empty before the first record, or is not a record. No log line, because the text is read at
	// every tick; the gate then gets no backend server from it, and the next write replaces it.
	const nlohmann::json document = object_from_text(_text);
	// Missing fields keep the defaults of owner_entry: held by nobody.
	record.sequence = document.value("seq", std::uint64_t{0});
	const nlohmann::json backends = document.value("backends", nlohmann::json::object());
	for (const auto& [name, entry] : backends.items())
	{
		owner_entry& read = record.backends[name];
		read.vm = entry.value("vm", "");
		read.life.value = entry.value("life", std::uint64_t{0});
		read.full_until = from_us(entry.value("full_until_us", std::int64_t{0}));
	}
	return record;
}
} // namespace larkrack
