#include <fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

using namespace fleet;

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(examplesAreValid);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shipped examples that the router rejects.
  void examplesAreValid() {
    Fleet Run;
    const std::string Root = std::getenv("MALLOWGLADE_SOURCE_DIR");
    const std::string Bin = std::getenv("MALLOWGLADE_BIN_DIR");
    for (const std::string Name : {"galwanika", "psalter"}) {
      Process Check({Bin + "/mallowglade", "config", "check",
                     Root + "/examples/" + Name + ".json"},
                    Run.directory() + "/check.log");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, 0, Check.wait());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
