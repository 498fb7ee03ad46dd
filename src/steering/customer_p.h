// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Customers: authenticates callers by API key and holds what each customer is entitled to.
///
/// Finds the customer that a request belongs to. Inputs: the API key that a caller sent; customers and keys
/// of the configuration.
///
/// Algorithm: a table holds a 128-bit digest of each key, computed with a secret of this process, and not the
/// key itself. A lookup takes one digest and about one probe on average, independent of the number of
/// customers and keys, and compares whole digests, so its duration does not reveal how much of a key was
/// correct. A configuration with contradicting customers is rejected as a whole.
///
/// Alternatives (docs/design/shifted-customers.md): the keys themselves in a hash map take 4 times
/// the memory, and comparing them stops at the first wrong character.
///
/// Relies on the secret being random; two keys with the same digest are treated as the same key.
#pragma once

#include "steering/names_p.h"
#include "steering/quota_subject_p.h"

#include "larkrack/outcome.h"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace larkrack
{
using customer_name = text_id<struct customer_name_tag>;

/// A customer's API key. It must not be printed, logged, exported or sent to other nodes.
class api_key
{
public:
	explicit api_key(std::string _text) : m_text(std::move(_text))
	{
	}
	/// @returns The key itself, to compute its digest only.
	std::string_view secret() const
	{
		return m_text;
	}
	friend std::ostream& operator<<(std::ostream&, const api_key&) = delete;

private:
	std::string m_text;
};

/// One customer of the configuration. Its id is the hash of its name.
struct customer : quota_subject
{
	customer_name name;
	int priority = 0;                      ///< 0 is the highest.
	std::vector<std::string> home_regions; ///< Empty: any region may serve.
};

/// A customer and its keys, as read from a configuration.
struct customer_entry
{
	customer who;
	std::vector<api_key> keys;
};

/// All customers of one configuration. Immutable once built.
class customer_directory
{
public:
	/// No customers are configured: no request needs a key.
	customer_directory() = default;
	/// @returns The directory, or the error "bad_customers", which names the invalid entry and never a key.
	static result<customer_directory> build(std::vector<customer_entry> _entries);

	/// @returns Whether requests need a key, unless their route is public.
	bool in_force() const
	{
		return m_in_force;
	}
	/// @param[in] _key As sent by the caller.
	/// @returns Null if no customer holds the key.
	const customer* find(std::string_view _key) const;
	/// @returns Null if there is no such customer.
	const customer* find_by_id(std::uint64_t _id) const;
	const std::vector<customer>& customers() const
	{
		return m_customers;
	}

private:
	struct key_digest
	{
		std::uint64_t low = 0;
		std::uint64_t high = 0;
	};
	struct key_slot
	{
		key_digest digest;
		std::uint32_t holder = 0; ///< Index into m_customers plus one; 0: free.
	};
	/// @returns False if another customer holds the key.
	bool insert(const api_key& _key, std::uint32_t _holder);
	std::size_t slot_of(const key_digest& _digest) const;
	static key_digest digest_of(std::string_view _key);

	std::vector<customer> m_customers; ///< Sorted by id.
	std::vector<key_slot> m_slots;     ///< Open addressing; the size is a power of two.
	bool m_in_force = false;
};

/// @returns Hash of a customer's name, the same at all nodes.
std::uint64_t customer_id(std::string_view _name);

/// Home regions that restrict a request: those of its route and those of its customer.
struct home_regions
{
	std::vector<std::string> regions; ///< Empty: any region, unless none_left is set.
	bool none_left = false;           ///< Route and customer have home regions, but none in common.
};

/// @returns The regions that both permit.
home_regions intersect_home_regions(
    const std::vector<std::string>& _of_route, const std::vector<std::string>& _of_customer);
} // namespace larkrack
