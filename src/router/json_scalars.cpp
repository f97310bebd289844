#include <mallowglade/detail/router/json_scalars.hpp>

#include <mallowglade/settings.hpp>

#include <algorithm>
#include <vector>

namespace mallowglade {

namespace {

/// Collects the scalars while the parser reads the text.
class ScalarCollector final : public nlohmann::json_sax<nlohmann::json> {
public:
  explicit ScalarCollector(std::initializer_list<std::string_view> Paths)
      : Paths(Paths) {}

  JsonScalars Found;

  bool null() override { return true; }
  bool boolean(bool Value) override {
    return record({true, Value ? 1.0 : 0.0});
  }
  bool number_integer(std::int64_t Value) override {
    return record({false, static_cast<double>(Value)});
  }
  bool number_unsigned(std::uint64_t Value) override {
    return record({false, static_cast<double>(Value)});
  }
  bool number_float(double Value, const std::string &) override {
    return record({false, Value});
  }
  bool string(std::string &) override { return true; }
  bool binary(nlohmann::json::binary_t &) override { return true; }
  bool start_object(std::size_t) override {
    Levels.push_back({true, {}});
    return Levels.size() <= MaxJsonDepth;
  }
  bool start_array(std::size_t) override {
    Levels.push_back({false, {}});
    return Levels.size() <= MaxJsonDepth;
  }
  bool end_object() override { return leave(); }
  bool end_array() override { return leave(); }
  bool key(std::string &Name) override {
    Levels.back().Key = std::move(Name);
    return true;
  }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::json::exception &) override {
    return false;
  }

private:
  struct Level {
    bool IsObject = false;
    std::string Key;
  };

  bool leave() {
    Levels.pop_back();
    return true;
  }

  bool record(const JsonScalar &Scalar) {
    const bool InObjects =
        !Levels.empty() && Levels.size() <= 2 &&
        std::all_of(Levels.begin(), Levels.end(),
                    [](const Level &Each) { return Each.IsObject; });
    if (!InObjects)
      return true;
    std::string Path = Levels.front().Key;
    if (Levels.size() > 1)
      Path += "." + Levels.back().Key;
    if (std::find(Paths.begin(), Paths.end(), Path) != Paths.end())
      Found.insert_or_assign(std::move(Path), Scalar);
    return true;
  }

  std::vector<std::string_view> Paths;
  std::vector<Level> Levels;
};

} // namespace

JsonScalars readScalars(std::string_view Text,
                        std::initializer_list<std::string_view> Paths) {
  ScalarCollector Collector(Paths);
  if (!nlohmann::json::sax_parse(Text, &Collector))
    return {};
  return std::move(Collector.Found);
}

std::optional<double> positiveNumber(const JsonScalars &Scalars,
                                     const std::string &Path, double Max) {
  const auto Found = Scalars.find(Path);
  if (Found == Scalars.end() || Found->second.IsBoolean ||
      !(Found->second.Number >= 0))
    return std::nullopt;
  return std::min(Found->second.Number, Max);
}

} // namespace mallowglade
