#include <mallowglade/settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;

namespace {

nlohmann::json validSettings() {
  return nlohmann::json::parse(R"({
    "listen": "127.0.0.1:8080",
    "peer_listen": "127.0.0.1:8081",
    "availability_zone": "pl-south-a",
    "platform": {"key_value": ["127.0.0.1:2379"],
                 "instance_list": "127.0.0.1:2380"},
    "fleet_key": "0123456789abcdef",
    "seed_tree": {
      "platform": {"pools": {"models": {"kind": "model"}},
                   "routes": [{"prefix": "/v1", "pool": "models"}],
                   "shares": {"desk": 2}},
      "teams": {"sales": {"workspaces": {"desk": {}}}}}
  })");
}

Error errorFor(const nlohmann::json &Document) {
  const auto Parsed = parseInstanceSettings(Document.dump());
  CPPUNIT_ASSERT(!isOk(Parsed));
  return errorOf(Parsed);
}

} // namespace

class InstanceSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceSettingsTest);
  CPPUNIT_TEST(validFileIsAccepted);
  CPPUNIT_TEST(unknownKeyIsNamed);
  CPPUNIT_TEST(hostNameIsRejected);
  CPPUNIT_TEST(wrongTypeIsNamed);
  CPPUNIT_TEST(zeroOrMissingShareIsRejected);
  CPPUNIT_TEST(routeToUnknownPoolIsRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void validFileIsAccepted() {
    const auto Parsed = parseInstanceSettings(validSettings().dump());
    CPPUNIT_ASSERT(isOk(Parsed));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8080"),
                         valueOf(Parsed).Advertise);
    const SettingsTree &Tree = valueOf(Parsed).SeedTree;
    CPPUNIT_ASSERT_EQUAL(2.0,
                         Tree.Workspaces.at(WorkspaceId("desk")).Weight.Value);
  }

  // Guards against a mistyped key that is silently ignored.
  void unknownKeyIsNamed() {
    auto Document = validSettings();
    Document["platform"]["keyvalue"] = 1;
    const Error Failure = errorFor(Document);
    CPPUNIT_ASSERT(Failure.Id == ErrorId::UnknownKey);
    CPPUNIT_ASSERT_EQUAL(std::string("/platform/keyvalue"), Failure.Path);
  }

  // Guards against a start that depends on name resolution.
  void hostNameIsRejected() {
    auto Document = validSettings();
    Document["listen"] = "router.example:8080";
    CPPUNIT_ASSERT(errorFor(Document).Id == ErrorId::InvalidAddress);
  }

  void wrongTypeIsNamed() {
    auto Document = validSettings();
    Document["limits"] = {{"max_requests", "many"}};
    const Error Failure = errorFor(Document);
    CPPUNIT_ASSERT(Failure.Id == ErrorId::WrongType);
    CPPUNIT_ASSERT_EQUAL(std::string("/limits/max_requests"), Failure.Path);
  }

  // Guards against a share of zero, by which the scheduler would divide.
  void zeroOrMissingShareIsRejected() {
    auto Zero = validSettings();
    Zero["seed_tree"]["platform"]["shares"]["desk"] = 0;
    CPPUNIT_ASSERT(errorFor(Zero).Id == ErrorId::OutOfRange);
    auto Missing = validSettings();
    Missing["seed_tree"]["platform"]["shares"] = nlohmann::json::object();
    CPPUNIT_ASSERT(errorFor(Missing).Id == ErrorId::MissingKey);
  }

  void routeToUnknownPoolIsRejected() {
    auto Document = validSettings();
    Document["seed_tree"]["platform"]["routes"][0]["pool"] = "nowhere";
    CPPUNIT_ASSERT(errorFor(Document).Id == ErrorId::InvalidReference);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceSettingsTest);
