#include <mallowglade/settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace mallowglade;

namespace {

/// Returns the key, default and bounds of a table row; the unit and the meaning
/// are not compared.
std::string formatRow(const std::string &Pattern, const std::string &Default,
                      const std::string &Bounds) {
  return fmt::format("{} default {} bounds {}", Pattern, Default, Bounds);
}

std::vector<std::string> splitCells(const std::string &Line) {
  std::vector<std::string> Cells;
  std::istringstream Stream(Line);
  std::string Cell;
  while (std::getline(Stream, Cell, '|')) {
    const auto First = Cell.find_first_not_of(" `");
    const auto Last = Cell.find_last_not_of(" `");
    if (First != std::string::npos)
      Cells.push_back(Cell.substr(First, Last - First + 1));
  }
  return Cells;
}

/// Returns the rows of the key tables, which are those with five cells.
std::set<std::string> documentedRows() {
  std::ifstream Page(MALLOWGLADE_SOURCE_DIR "/docs/settings.md");
  std::set<std::string> Rows;
  std::string Line;
  constexpr std::size_t KeyTableCells = 5;
  while (std::getline(Page, Line)) {
    const std::vector<std::string> Cells = splitCells(Line);
    const bool IsKey = Cells.size() == KeyTableCells && Cells[0] != "key" &&
                       !Cells[0].starts_with("---");
    if (IsKey)
      Rows.insert(formatRow(Cells[0], Cells[2], Cells[3]));
  }
  return Rows;
}

std::set<std::string> parserRows() {
  std::vector<SettingsKey> Keys;
  parseInstanceSettings("{}", &Keys);
  const nlohmann::json Sample = nlohmann::json::parse(R"({
    "platform": {"pools": {"p": {}}, "routes": [{}], "operators": {"o": {}},
                 "shares": {"w": 1}},
    "teams": {"t": {"workspaces": {"w": {}}}}})");
  parseTree(Sample, "", &Keys);
  std::set<std::string> Rows;
  for (const SettingsKey &Key : Keys)
    Rows.insert(formatRow(Key.Pattern, Key.Default, Key.Bounds));
  return Rows;
}

} // namespace

class SettingsReferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsReferenceTest);
  CPPUNIT_TEST(pageMatchesParsers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against documented keys, defaults or bounds that differ from those
  // of the parsers.
  void pageMatchesParsers() {
    const std::set<std::string> Page = documentedRows();
    const std::set<std::string> Code = parserRows();
    for (const std::string &Row : Code)
      CPPUNIT_ASSERT_MESSAGE("missing in docs/settings.md: " + Row,
                             Page.contains(Row));
    for (const std::string &Row : Page)
      CPPUNIT_ASSERT_MESSAGE("not in the code: " + Row, Code.contains(Row));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsReferenceTest);
