// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Service choice: which rule of choice a service uses (overload.backend_choice), and the state of that rule.
///
/// Inputs: the setting, and whether a backend server of the service has reported a work time. With
/// backend_choice_setting::reported, a service changes to completion_choice_p.h with the first valid report
/// and keeps it: when reports stop, slowness fades to 1.
#pragma once

#include "steering/completion_choice_p.h"

namespace larkrack
{
/// Values of the setting overload.backend_choice.
enum class backend_choice_setting
{
	count,      ///< count_choice_p.h for all services.
	reported,   ///< completion_choice_p.h for services whose load headers carry a work time.
	completion, ///< completion_choice_p.h for all services.
};

/// Rule of one service.
class service_choice
{
public:
	void set(backend_choice_setting _setting)
	{
		m_setting = _setting;
	}
	/// A backend server of the service reported a valid work time.
	void on_work_time_reported()
	{
		m_reported = true;
	}
	bool by_completion() const
	{
		return backend_choice_setting::completion == m_setting ||
		       (backend_choice_setting::reported == m_setting && m_reported);
	}
	backend_choice_rule_base& rule()
	{
		return by_completion() ? static_cast<backend_choice_rule_base&>(completion) : count_choice_rule();
	}

	completion_choice completion;

private:
	backend_choice_setting m_setting = backend_choice_setting::reported;
	bool m_reported = false;
};
} // namespace larkrack
