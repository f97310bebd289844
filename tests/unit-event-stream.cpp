#include <mallowglade/detail/http1/event_stream.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace mallowglade;

namespace {

/// Collects the data lines that a stream reports.
class DataCollector final : public EventDataReceiver {
public:
  void onEventData(std::string_view Data) override { Lines.emplace_back(Data); }
  std::vector<std::string> Lines;
};

} // namespace

class EventStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventStreamTest);
  CPPUNIT_TEST(outputDoesNotDependOnReadBoundaries);
  CPPUNIT_TEST(incompleteEventIsDiscardedBeforeResuming);
  CPPUNIT_TEST(nestedDataIsPassedOnUnchanged);
  CPPUNIT_TEST(idThatFitsNoHeaderFieldIsNotUsedToResume);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against bytes lost or duplicated when a read ends within an event.
  void outputDoesNotDependOnReadBoundaries() {
    const std::string Input =
        "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {\"usage\":{\"x\":2}}\n\n"
        "data: [DONE]\n\n";
    for (std::size_t Split = 0; Split <= Input.size(); ++Split) {
      EventStream Stream;
      DataCollector Data;
      std::string Output = Stream.feed(Input.substr(0, Split), &Data);
      Output += Stream.feed(Input.substr(Split), &Data);
      CPPUNIT_ASSERT_EQUAL(Input, Output);
      CPPUNIT_ASSERT(Stream.done());
      CPPUNIT_ASSERT_EQUAL(std::string("2"), Stream.lastEventId());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Stream.dataLineCount());
      const std::vector<std::string> Expected{"{\"a\":1}",
                                              "{\"usage\":{\"x\":2}}"};
      CPPUNIT_ASSERT(Data.Lines == Expected);
    }
  }

  // Guards against forwarding a partial event before the resumed stream repeats
  // that event.
  void incompleteEventIsDiscardedBeforeResuming() {
    EventStream Stream;
    std::string Output = Stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b");
    Stream.reset();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Stream.lastEventId());
    Output += Stream.feed("id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                         Output);
  }

  // Guards against a process that ends by a stack overflow: an upstream decides
  // how deeply the data of its events is nested.
  void nestedDataIsPassedOnUnchanged() {
    for (const std::size_t Depth : {100, 10'000, 200'000}) {
      const std::string Input =
          "data: {\"usage\":{\"prompt\":" + std::string(Depth, '[') +
          std::string(Depth, ']') + "}}\n\n";
      EventStream Stream;
      CPPUNIT_ASSERT(Stream.feed(Input) == Input);
    }
  }

  // Guards against an event id that ends the header field in which the next
  // upstream gets it, and against one that no head can hold.
  void idThatFitsNoHeaderFieldIsNotUsedToResume() {
    for (const std::string &Id :
         {std::string("2\rX: y"), std::string("2\0", 2),
          std::string(EventStream::MaxIdBytes + 1, '2')}) {
      EventStream Stream;
      Stream.feed("id: 1\ndata: a\n\nid: " + Id + "\ndata: b\n\n");
      CPPUNIT_ASSERT_EQUAL(std::string(), Stream.lastEventId());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);
