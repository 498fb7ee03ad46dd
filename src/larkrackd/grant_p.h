// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Grants of a look-up, and signatures (HMAC-SHA256, cut to 128 bits) between entry VMs.
///
/// For: a key that is built on a grant names the entry VM and the life of its process that may run it, so
/// that it runs at most once without a store (docs/DESIGN.md). The same secret signs relayed requests and
/// handshakes.
/// Owns: the shared secret from the settings, in memory.
/// Relies on: carrier for checking expiry and life; clocks within k_clock_skew of each other.
#pragma once

#include "base/clock_p.h"

#include "larkrack/ids.h"
#include "larkrack/outcome.h"

#include <string>

namespace larkrack
{
/// Right to have keys run by one life of one entry VM, until it expires.
struct grant
{
	std::string service;
	std::string entry_vm; ///< Name.
	incarnation life;     ///< Life of its process.
	wall_time issued{};
	wall_time expires{};
	std::uint64_t nonce = 0; ///< Makes two grants of the same moment differ.
};

/// Signs and checks. Stateless and thread-safe.
class signer
{
public:
	explicit signer(std::string _secret) : m_secret(std::move(_secret))
	{
	}
	/// @returns "g1:service:vm:incarnation:issued:expires:nonce:signature".
	std::string sign(const grant& _grant) const;
	/// Reads a grant, which may be followed by "/" and the caller's own part of a key.
	/// @returns The grant, or why it is not one. Expiry is not checked here.
	result<grant> read(const std::string& _text) const;
	/// @returns Signature of any text, 32 hexadecimal digits.
	std::string signature(const std::string& _text) const;
	/// @returns Whether both are equal; the time taken does not depend on where they differ.
	static bool same(const std::string& _a, const std::string& _b);

private:
	std::string m_secret;
};

/// @returns Whether a key claims to be built on a grant.
bool is_granted_key(const std::string& _key);
} // namespace larkrack
