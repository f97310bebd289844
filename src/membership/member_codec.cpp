#include <mallowglade/membership.hpp>

#include <mallowglade/detail/core/json_text.hpp>
#include <mallowglade/detail/core/unpack_limit.hpp>

#include <msgpack.hpp>

namespace mallowglade {

namespace {

constexpr std::uint32_t MessageFieldCount = 6;
constexpr std::uint32_t RecordFieldCount = 7;

using Packer = msgpack::packer<msgpack::sbuffer>;

void packRecord(Packer &Output, const MemberRecord &Record) {
  Output.pack_array(RecordFieldCount);
  Output.pack(Record.Id.Value);
  Output.pack(Record.Start.Value);
  Output.pack(Record.VersionCounter);
  Output.pack(static_cast<std::uint8_t>(Record.State));
  Output.pack(Record.Leaving);
  Output.pack(Record.Zone.Value);
  Output.pack(Record.CallerAddress);
}

/// Reads a name or an address; both are shown to callers and operators.
/// Throws msgpack::type_error if it cannot be printed.
std::string readName(const msgpack::object &Source) {
  constexpr std::size_t MaxNameBytes = 256;
  auto Name = Source.as<std::string>();
  if (Name.size() > MaxNameBytes || !detail::isPrintableText(Name))
    throw msgpack::type_error();
  return Name;
}

/// Throws msgpack::type_error if a field has the wrong type, and
/// std::out_of_range if a field is missing.
MemberRecord readRecord(const msgpack::object &Source) {
  const auto Fields = Source.as<std::vector<msgpack::object>>();
  MemberRecord Record;
  Record.Id = RouterId(readName(Fields.at(0)));
  Record.Start = Incarnation(Fields.at(1).as<std::uint64_t>());
  Record.VersionCounter = Fields.at(2).as<std::uint32_t>();
  const auto State = Fields.at(3).as<std::uint8_t>();
  Record.State = static_cast<MemberState>(std::min<std::uint8_t>(State, 2));
  Record.Leaving = Fields.at(4).as<bool>();
  Record.Zone = ZoneId(readName(Fields.at(5)));
  Record.CallerAddress = readName(Fields.at(6));
  return Record;
}

MemberMessage readMessage(const msgpack::object &Source) {
  const auto Fields = Source.as<std::vector<msgpack::object>>();
  const auto Kind = Fields.at(0).as<std::uint8_t>();
  if (Kind > static_cast<std::uint8_t>(MemberMessageKind::SyncReply))
    throw msgpack::type_error();
  MemberMessage Message;
  Message.Kind = static_cast<MemberMessageKind>(Kind);
  Message.Sequence = Fields.at(1).as<std::uint64_t>();
  Message.Target = RouterId(readName(Fields.at(2)));
  Message.Version = SettingsVersion(Fields.at(3).as<std::uint64_t>());
  Message.Digest = Fields.at(4).as<std::uint64_t>();
  for (const auto &Item : Fields.at(5).as<std::vector<msgpack::object>>())
    Message.Updates.push_back(readRecord(Item));
  return Message;
}

} // namespace

std::string encodeMemberMessage(const MemberMessage &Message) {
  msgpack::sbuffer Buffer;
  Packer Output(Buffer);
  Output.pack_array(MessageFieldCount);
  Output.pack(static_cast<std::uint8_t>(Message.Kind));
  Output.pack(Message.Sequence);
  Output.pack(Message.Target.Value);
  Output.pack(Message.Version.Value);
  Output.pack(Message.Digest);
  Output.pack_array(static_cast<std::uint32_t>(Message.Updates.size()));
  for (const MemberRecord &Record : Message.Updates)
    packRecord(Output, Record);
  return {Buffer.data(), Buffer.size()};
}

Result<MemberMessage> decodeMemberMessage(std::string_view Bytes) {
  try {
    const auto Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                        mallowglade::detail::unpackLimit(Bytes.size()));
    return readMessage(Handle.get());
  } catch (const std::exception &Failure) {
    return Error{ErrorId::InvalidMessage, Failure.what(), ""};
  }
}

} // namespace mallowglade
