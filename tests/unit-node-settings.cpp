#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using nlohmann::json;

namespace {

json settings() {
  return {{"name", "router-1"},
          {"availability_zone", "zone-a"},
          {"store", "127.0.0.1:7000"},
          {"credential_freshness_ms", 3'000},
          {"state_freshness_ms", 2'000},
          {"stop_grace_s", 8},
          {"max_address_ttl_s", 5},
          {"listen",
           {{"callers", "127.0.0.1:7001"}, {"readiness", "127.0.0.1:7002"}}},
          {"peers", {{"ip", "127.0.0.1"}, {"first_port", 7'003}}},
          {"retries", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
          {"limits", {{"memory_mb", 110}, {"descriptors", 4'100}}}};
}

} // namespace

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(holdFollowsTheCredentialFreshness);
  CPPUNIT_TEST(invalidValuesAreRejected);
  CPPUNIT_TEST(patchChangesTheSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a default that fits one deployment only.
  void holdFollowsTheCredentialFreshness() {
    const auto Read = parseNodeSettings(settings().dump());
    CPPUNIT_ASSERT(isOk(Read));
    CPPUNIT_ASSERT(valueOf(Read).RestoredStoreHold == Milliseconds(6'000));
    json Given = settings();
    Given["restored_store_hold_ms"] = 1'500;
    const auto Set = parseNodeSettings(Given.dump());
    CPPUNIT_ASSERT(isOk(Set));
    CPPUNIT_ASSERT(valueOf(Set).RestoredStoreHold == Milliseconds(1'500));
  }

  // Guards against settings that are ignored because they are misspelt, of
  // another type or out of range.
  void invalidValuesAreRejected() {
    const auto IsAccepted = [](const char *Key, const json &Value) {
      json Given = settings();
      Given[Key] = Value;
      return isOk(parseNodeSettings(Given.dump()));
    };
    CPPUNIT_ASSERT(IsAccepted("restored_store_hold_ms", 1));
    CPPUNIT_ASSERT(!IsAccepted("restored_store_hold_ms", 0));
    CPPUNIT_ASSERT(!IsAccepted("restored_store_hold_ms", "2 s"));
    CPPUNIT_ASSERT(!IsAccepted("restored_store_hold", 2'000));
    CPPUNIT_ASSERT(!isOk(parseNodeSettings("{")));
  }

  // Guards against a patch that replaces the other members of an object, or is
  // not validated.
  void patchChangesTheSettings() {
    const std::string Text = settings().dump();
    const auto Patched = parseNodeSettings(
        Text, R"({"evacuation_ms": 5000, "limits": {"cores": 2}})");
    CPPUNIT_ASSERT(isOk(Patched));
    CPPUNIT_ASSERT(valueOf(Patched).EvacuationTime == Milliseconds(5'000));
    CPPUNIT_ASSERT_EQUAL(2U, valueOf(Patched).Processor.Cores);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4'100), valueOf(Patched).Descriptors);
    for (const char *Wrong : {"{", "[]", R"({"limits": {"cores": 0}})"})
      CPPUNIT_ASSERT_MESSAGE(Wrong, !isOk(parseNodeSettings(Text, Wrong)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);
