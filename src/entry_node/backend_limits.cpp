// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/backend_limits_p.h"

namespace larkrack
{
void backend_limits::on_word(backend_server& _backend, const limit_word& _word)
{
	const limit_word before = _backend.limit.word();
	if (_backend.limit.hear(_word))
	{
		tell(_backend, before);
	}
}

void backend_limits::tell(const backend_server& _backend, const limit_word& _before)
{
	const limit_word& now = _backend.limit.word();
	const char* state = !_before.per_s ? "begins" : now.per_s ? "changes" : "ends";
	m_log.write(log_line(event::backend_limited)
	                .text("backend", _backend.registered.id.text)
	                .text("service", _backend.registered.service.text)
	                .text("state", state)
	                .decimal("limit_per_s", now.per_s.value_or(0.0)));
}
} // namespace larkrack
