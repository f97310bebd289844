#include <mallowglade/membership.hpp>

#include <mallowglade/detail/core/unpack_limit.hpp>

#include <msgpack.hpp>

namespace mallowglade {

namespace {

constexpr std::uint32_t MessageFields = 6;
constexpr std::uint32_t RecordFields = 7;

using Packer = msgpack::packer<msgpack::sbuffer>;

void packRecord(Packer &Target, const MemberRecord &Record) {
  Target.pack_array(RecordFields);
  Target.pack(Record.Id.Value);
  Target.pack(Record.Start.Value);
  Target.pack(Record.Counter);
  Target.pack(static_cast<std::uint8_t>(Record.State));
  Target.pack(Record.Leaving);
  Target.pack(Record.Zone.Value);
  Target.pack(Record.CallerAddress);
}

/// Throws msgpack::type_error if a field has another type.
MemberRecord readRecord(const msgpack::object &Source) {
  const auto Fields = Source.as<std::vector<msgpack::object>>();
  MemberRecord Record;
  Record.Id = RouterId(Fields.at(0).as<std::string>());
  Record.Start = Incarnation(Fields.at(1).as<std::uint64_t>());
  Record.Counter = Fields.at(2).as<std::uint32_t>();
  const auto State = Fields.at(3).as<std::uint8_t>();
  Record.State = static_cast<MemberState>(std::min<std::uint8_t>(State, 2));
  Record.Leaving = Fields.at(4).as<bool>();
  Record.Zone = ZoneId(Fields.at(5).as<std::string>());
  Record.CallerAddress = Fields.at(6).as<std::string>();
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
  Message.Target = RouterId(Fields.at(2).as<std::string>());
  Message.Version = SettingsVersion(Fields.at(3).as<std::uint64_t>());
  Message.Digest = Fields.at(4).as<std::uint64_t>();
  for (const auto &Item : Fields.at(5).as<std::vector<msgpack::object>>())
    Message.Updates.push_back(readRecord(Item));
  return Message;
}

} // namespace

std::string encodeMemberMessage(const MemberMessage &Message) {
  msgpack::sbuffer Buffer;
  Packer Target(Buffer);
  Target.pack_array(MessageFields);
  Target.pack(static_cast<std::uint8_t>(Message.Kind));
  Target.pack(Message.Sequence);
  Target.pack(Message.Target.Value);
  Target.pack(Message.Version.Value);
  Target.pack(Message.Digest);
  Target.pack_array(static_cast<std::uint32_t>(Message.Updates.size()));
  for (const MemberRecord &Record : Message.Updates)
    packRecord(Target, Record);
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
