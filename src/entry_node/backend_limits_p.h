// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Limits that backend servers name beside their answers.
///
/// Owns the count of backend servers that name one. Relies on the requests to hand in what was said, and on
/// backend_registry for the words that hold.
#pragma once

#include "entry_node/backend_registry_p.h"
#include "entry_node/entry_log_p.h"

namespace larkrack
{
/// What the requests tell of limits.
class limit_gate_base
{
public:
	virtual ~limit_gate_base() = default;
	/// Takes what a backend server said of its limit beside an answer to this node.
	virtual void on_word(backend_server& _backend, const limit_word& _word) = 0;
};

/// Keeps and logs what backend servers say of their limits.
class backend_limits : public limit_gate_base
{
public:
	explicit backend_limits(entry_log& _log) : m_log(_log)
	{
	}
	void on_word(backend_server& _backend, const limit_word& _word) override;

private:
	void tell(const backend_server& _backend, const limit_word& _before);

	entry_log& m_log;
};
} // namespace larkrack
