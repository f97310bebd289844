#include <mallowglade/detail/router/settings_messages.hpp>

#include <mallowglade/detail/core/unpack_limit.hpp>

namespace mallowglade {

namespace {

using nlohmann::json;

std::string pack(const json &Document) {
  std::string Bytes;
  json::to_msgpack(Document, Bytes);
  return Bytes;
}

/// Returns null if the bytes are malformed.
json unpack(std::string_view Bytes) {
  // The library's reader recurses once for each level.
  if (!detail::isBoundedMessage(Bytes))
    return {};
  json Document = json::from_msgpack(Bytes, true, false);
  return Document.is_discarded() ? json() : Document;
}

std::optional<PackNumber> packNumberOf(const json &Value) {
  return numberWithin<PackNumber>(Value, 0, settings_layout::PackCount - 1);
}

/// Runs a decoder; a member of a wrong type makes the message malformed.
template <class T, class Decode>
std::optional<T> guarded(std::string_view Bytes, Decode Decoder) {
  const json Document = unpack(Bytes);
  try {
    return Decoder(Document);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encodeSettingsRequest(const SettingsRequest &Request) {
  json Held = json::array();
  for (const auto &[Number, Version] : Request.HeldPacks)
    Held.push_back({Number, Version.Value});
  return pack({{"version_only", Request.VersionOnly}, {"held", Held}});
}

std::optional<SettingsRequest> decodeSettingsRequest(std::string_view Bytes) {
  return guarded<SettingsRequest>(Bytes, [](const json &Document) {
    SettingsRequest Request;
    Request.VersionOnly = Document.at("version_only").get<bool>();
    for (const json &Item : Document.at("held"))
      if (const auto Number = packNumberOf(Item.at(0)))
        Request.HeldPacks[*Number] =
            SettingsVersion(Item.at(1).get<std::uint64_t>());
    return Request;
  });
}

std::string encodeSettingsReply(const SettingsReply &Reply) {
  json Document = json::object();
  if (Reply.Version)
    Document["version"] = Reply.Version->Value;
  if (Reply.Head)
    Document["head"] = encodeHead(*Reply.Head);
  json Packs = json::array();
  for (const auto &[Number, Pack] : Reply.Packs)
    Packs.push_back({Number, encodePack(Pack)});
  Document["packs"] = Packs;
  return pack(Document);
}

std::optional<SettingsReply> decodeSettingsReply(std::string_view Bytes) {
  return guarded<SettingsReply>(Bytes, [](const json &Document) {
    SettingsReply Reply;
    if (Document.contains("version"))
      Reply.Version = SettingsVersion(Document["version"].get<std::uint64_t>());
    for (const json &Item : Document.at("packs")) {
      const auto Pack = parsePack(Item.at(1).get_ref<const std::string &>());
      const auto Number = packNumberOf(Item.at(0));
      if (isOk(Pack) && Number)
        Reply.Packs[*Number] = valueOf(Pack);
    }
    if (!Document.contains("head"))
      return Reply;
    const auto Head =
        parseHead(Document["head"].get_ref<const std::string &>());
    if (isOk(Head))
      Reply.Head = valueOf(Head);
    return Reply;
  });
}

std::string encodeSettingsNotice(SettingsVersion Version) {
  return pack({{"version", Version.Value}});
}

std::optional<SettingsVersion> decodeSettingsNotice(std::string_view Bytes) {
  return guarded<SettingsVersion>(Bytes, [](const json &Document) {
    return SettingsVersion(Document.at("version").get<std::uint64_t>());
  });
}

} // namespace mallowglade
