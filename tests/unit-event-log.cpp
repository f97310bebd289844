#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <unistd.h>

#include <array>
#include <limits>

using namespace mallowglade;

namespace {

constexpr std::size_t MaxLineBytes = 8'192;

/// Writes one line with a text from outside the process.
/// @return the line
std::string lineWith(const std::string &Text) {
  constexpr std::size_t ReadBytes = 65'536;
  std::array<int, 2> Pipe{};
  CPPUNIT_ASSERT_EQUAL(0, ::pipe(Pipe.data()));
  const ManualClock Time;
  dataplane::EventLog Log(Pipe[1], 100, Time);
  Log.write("request", {{"request", Text},
                        {"fill", std::numeric_limits<double>::quiet_NaN()}});
  Log.flush();
  std::string Line(ReadBytes, '\0');
  const ssize_t Size = ::read(Pipe[0], Line.data(), Line.size());
  ::close(Pipe[0]);
  ::close(Pipe[1]);
  CPPUNIT_ASSERT(Size > 0);
  Line.resize(static_cast<std::size_t>(Size));
  return Line;
}

} // namespace

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(linesAreJsonWhateverCallersSend);
  CPPUNIT_TEST(validTextIsLoggedUnchanged);
  CPPUNIT_TEST(floodOfRequestsDoesNotHideChangesOfState);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against log lines that no reader of JSON accepts, or that one
  // request fills, as callers choose the id of their request.
  void linesAreJsonWhateverCallersSend() {
    CPPUNIT_ASSERT(rc::check([](const std::string &Text) {
      const std::string Line = lineWith(Text);
      RC_ASSERT(Line.size() <= MaxLineBytes);
      RC_ASSERT(nlohmann::json::accept(Line));
    }));
    for (const std::string &Text :
         {std::string("\xff\xfe"), std::string("\xc3\x28"),
          std::string("\xed\xa0\x80"), std::string("\xf4\x90\x80\x80"),
          std::string("\xc0\xaf"), std::string("\0\n\"\\", 4),
          std::string(60'000, 'a'), std::string(60'000, '\x01'),
          std::string(1'023, 'a') + "\xc3\xa9"}) {
      const std::string Line = lineWith(Text);
      CPPUNIT_ASSERT(Line.size() <= MaxLineBytes);
      CPPUNIT_ASSERT_MESSAGE(Line, nlohmann::json::accept(Line));
    }
  }

  // Guards against ids that an operator does not find in the log.
  void validTextIsLoggedUnchanged() {
    for (const std::string Text :
         {"9c41d07be2a35f68", "a \"b\" \\c", "Kraków, 東京, \xf0\x9f\x9a\x80"})
      CPPUNIT_ASSERT_EQUAL(
          Text,
          nlohmann::json::parse(lineWith(Text))["request"].get<std::string>());
  }

  // Guards against an overload whose begin is dropped from the log because of
  // the requests that caused it.
  void floodOfRequestsDoesNotHideChangesOfState() {
    constexpr int Requests = 1'000;
    constexpr int Changes = 40;
    constexpr double LinesPerSecond = 60;
    std::array<int, 2> Pipe{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(Pipe.data()));
    const ManualClock Time;
    dataplane::EventLog Log(Pipe[1], LinesPerSecond, Time);
    for (int Index = 0; Index < Requests; ++Index)
      Log.writeForRequest("request", {{"caller", "10.0.0.1"}});
    for (int Index = 0; Index < Changes; ++Index)
      Log.write("overload_begins", {{"delay_ms", std::int64_t(Index)}});
    Log.flush();
    std::string Text(1U << 16U, '\0');
    const ssize_t Size = ::read(Pipe[0], Text.data(), Text.size());
    ::close(Pipe[0]);
    ::close(Pipe[1]);
    CPPUNIT_ASSERT(Size > 0);
    Text.resize(static_cast<std::size_t>(Size));
    int Seen = 0;
    for (std::size_t At = Text.find("overload_begins"); At != std::string::npos;
         At = Text.find("overload_begins", At + 1))
      ++Seen;
    CPPUNIT_ASSERT_EQUAL(Changes, Seen);
    CPPUNIT_ASSERT(Text.find("log_lines_dropped") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);
