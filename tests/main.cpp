// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Runs all fixtures, or those whose names contain the arguments.

#include "log_p.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main()
{
	larkrack::log_init("test", "/dev/null");
	CppUnit::TestResult result;
	CppUnit::TestResultCollector collector;
	result.addListener(&collector);
	CppUnit::TestRunner runner;
	runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
	runner.run(result);
	CppUnit::CompilerOutputter(&collector, std::cerr).write();
	const auto failed = collector.testFailuresTotal();
	std::cout << (static_cast<int>(collector.runTests()) - failed) << " passed, " << failed << " failed"
	          << std::endl;
	return collector.wasSuccessful() ? 0 : 1;
}
