// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Grants that look-ups return, and signatures (HMAC-SHA256, truncated to 128 bits) between entry VMs.
///
/// For: an idempotency key that starts with a grant names the entry VM, and the incarnation of its process,
/// that may run it. So the key runs at most once without a store (docs/DESIGN.md). The same secret signs
/// relayed requests and handshakes of peers.
/// Owns: the shared secret from the settings, in memory.
/// Relies on: carrier to check expiry and incarnation; clocks that differ by no more than k_clock_skew.
#pragma once

#include "base/clock_p.h"

#include "larkrack/ids.h"
#include "larkrack/outcome.h"

#include <string>

namespace larkrack
{
/// Permission to run keys on one incarnation of one entry VM, until it expires.
struct grant
{
	std::string service;
	std::string entry_vm; ///< Name of the entry VM.
	incarnation life;     ///< Incarnation of its process.
	wall_time issued{};
	wall_time expires{};
	std::uint64_t nonce = 0; ///< Distinguishes grants issued at the same time.
};

/// Signs texts and verifies grants with the shared secret. Immutable and thread-safe.
class signer
{
public:
	explicit signer(std::string _secret) : m_secret(std::move(_secret))
	{
	}
	/// @returns "g1:service:vm:incarnation:issued:expires:nonce:signature".
	std::string sign(const grant& _grant) const;
	/// Parses and verifies a grant, which may be followed by "/" and the caller's own part of a key.
	/// @returns The grant, or an error when it is malformed or its signature is wrong. Does not check expiry.
	result<grant> read(const std::string& _text) const;
	/// @returns Signature of a text, 32 hexadecimal digits.
	std::string signature(const std::string& _text) const;
	/// @returns Whether both texts are equal, compared in constant time.
	static bool same(const std::string& _a, const std::string& _b);

private:
	std::string m_secret;
};

/// @returns Whether a key has the prefix of a grant. Does not verify it.
bool is_granted_key(const std::string& _key);
} // namespace larkrack
