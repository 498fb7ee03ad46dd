// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/customer_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <random>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace larkrack
{
namespace
{
/// Maximum rate (requests per second) and burst (requests) of a customer. Higher values are rejected as
/// mistakes: no fleet serves them, and sums would lose precision.
constexpr double k_max_requests = 1e9;
/// Hash seed for customer ids; all nodes must use the same value. Not a tuning value.
constexpr std::uint64_t k_customer_seed = 3;
/// Slots of the key table for every two keys. Higher values use more memory, 24 bytes per slot; lower values
/// lengthen probe sequences. With 3, a lookup among 40,000 keys takes 1.5 probes on average.
constexpr std::size_t k_slots_per_two_keys = 3;

using secret_words = std::array<std::uint32_t, XXH3_SECRET_SIZE_MIN / sizeof(std::uint32_t) + 1>;

const secret_words& secret()
{
	static const secret_words s_secret = []
	{
		std::random_device random;
		secret_words words{};
		for (std::uint32_t& word : words)
		{
			word = random();
		}
		return words;
	}();
	return s_secret;
}

bool is_valid_limit(double _requests)
{
	return std::isfinite(_requests) && _requests >= 0.0 && _requests <= k_max_requests;
}

/// The name is sent to backend servers as a header value.
bool is_header_safe(const std::string& _name)
{
	return std::none_of(_name.begin(), _name.end(),
	    [](char _letter)
	    {
		    return 0 != std::iscntrl(static_cast<unsigned char>(_letter));
	    });
}

error invalid_customer(const customer& _customer, const std::string& _why)
{
	return {"bad_customers", "customer " + _customer.name.text + " " + _why};
}

/// @returns Why the customer is invalid; empty if it is valid.
std::string validation_error(const customer_entry& _entry)
{
	if (_entry.who.name.empty())
	{
		return "has no name";
	}
	if (!is_header_safe(_entry.who.name.text))
	{
		return "has a name with control characters";
	}
	if (!is_valid_limit(_entry.who.limit.per_s) || !is_valid_limit(_entry.who.limit.burst))
	{
		return "has an impossible rate or burst";
	}
	for (std::size_t i = 0; i < _entry.keys.size(); ++i)
	{
		if (_entry.keys[i].secret().empty())
		{
			return "has an empty key at place " + std::to_string(i + 1);
		}
	}
	return "";
}

std::size_t table_size(std::size_t _keys)
{
	std::size_t size = 1;
	while (2 * size < k_slots_per_two_keys * _keys + 2)
	{
		size *= 2;
	}
	return size;
}
} // namespace

result<customer_directory> customer_directory::build(std::vector<customer_entry> _entries)
{
	customer_directory directory;
	directory.m_in_force = true;
	std::size_t keys = 0;
	for (customer_entry& entry : _entries)
	{
		const std::string problem = validation_error(entry);
		if (!problem.empty())
		{
			return invalid_customer(entry.who, problem);
		}
		entry.who.id = customer_id(entry.who.name.text);
		keys += entry.keys.size();
	}
	std::sort(_entries.begin(), _entries.end(),
	    [](const customer_entry& _left, const customer_entry& _right)
	    {
		    return _left.who.id < _right.who.id;
	    });
	directory.m_slots.resize(table_size(keys));
	directory.m_customers.reserve(_entries.size());
	for (customer_entry& entry : _entries)
	{
		if (!directory.m_customers.empty() && directory.m_customers.back().id == entry.who.id)
		{
			return invalid_customer(entry.who, "is named twice");
		}
		directory.m_customers.push_back(std::move(entry.who));
		const auto holder = static_cast<std::uint32_t>(directory.m_customers.size());
		for (const api_key& key : entry.keys)
		{
			if (!directory.insert(key, holder))
			{
				return invalid_customer(directory.m_customers.back(), "holds a key of another customer");
			}
		}
	}
	return directory;
}

bool customer_directory::insert(const api_key& _key, std::uint32_t _holder)
{
	const key_digest digest = digest_of(_key.secret());
	key_slot& slot = m_slots[slot_of(digest)];
	if (0 != slot.holder)
	{
		return slot.holder == _holder;
	}
	slot = {digest, _holder};
	return true;
}

std::size_t customer_directory::slot_of(const key_digest& _digest) const
{
	const std::size_t mask = m_slots.size() - 1;
	std::size_t at = _digest.low & mask;
	while (0 != m_slots[at].holder)
	{
		const key_digest& there = m_slots[at].digest;
		if (0 == ((there.low ^ _digest.low) | (there.high ^ _digest.high)))
		{
			break;
		}
		at = (at + 1) & mask;
	}
	return at;
}

customer_directory::key_digest customer_directory::digest_of(std::string_view _key)
{
	const XXH128_hash_t hash =
	    XXH3_128bits_withSecret(_key.data(), _key.size(), secret().data(), sizeof(secret_words));
	return {hash.low64, hash.high64};
}

const customer* customer_directory::find(std::string_view _key) const
{
	if (m_slots.empty() || _key.empty())
	{
		return nullptr;
	}
	const std::uint32_t holder = m_slots[slot_of(digest_of(_key))].holder;
	return 0 == holder ? nullptr : &m_customers[holder - 1];
}

const customer* customer_directory::find_by_id(std::uint64_t _id) const
{
	const auto it = std::lower_bound(m_customers.begin(), m_customers.end(), _id,
	    [](const customer& _customer, std::uint64_t _wanted)
	    {
		    return _customer.id < _wanted;
	    });
	return m_customers.end() == it || it->id != _id ? nullptr : &*it;
}

std::uint64_t customer_id(std::string_view _name)
{
	return rendezvous_weight(_name, k_customer_seed);
}

home_regions intersect_home_regions(
    const std::vector<std::string>& _of_route, const std::vector<std::string>& _of_customer)
{
	if (_of_route.empty() || _of_customer.empty())
	{
		return {_of_route.empty() ? _of_customer : _of_route, false};
	}
	home_regions common;
	for (const std::string& region : _of_route)
	{
		if (_of_customer.end() != std::find(_of_customer.begin(), _of_customer.end(), region))
		{
			common.regions.push_back(region);
		}
	}
	common.none_left = common.regions.empty();
	return common;
}
} // namespace larkrack
