#include <mallowglade/detail/router/change_runner.hpp>

namespace mallowglade {

namespace {

/// Several packs are read with one call, as the service counts calls.
constexpr std::size_t MaxSingleReads = 1;

Result<Success> readAuditHead(KeyValueStore &Store, ChangeState &State) {
  const auto Entry = Store.read(settings_layout::AuditHeadKey);
  if (!isOk(Entry))
    return errorOf(Entry);
  if (!valueOf(Entry))
    return Success{};
  const auto Parsed = parseAuditHead(valueOf(Entry)->Value);
  if (!isOk(Parsed))
    return errorOf(Parsed);
  State.Audit = valueOf(Parsed);
  State.AuditHeadRevision = valueOf(Entry)->Modified;
  return Success{};
}

Result<Success> completePacks(KeyValueStore &Store,
                              const SettingsSnapshot &Held,
                              SettingsSnapshot &Settings) {
  std::map<PackNumber, SettingsPack> Packs = Held.Packs;
  const auto Missing = missingPacks(Settings.Head, Packs);
  const auto Entries = readPacks(Store, Missing);
  if (!isOk(Entries))
    return errorOf(Entries);
  for (const KeyValue &Entry : valueOf(Entries)) {
    const auto Pack = parsePack(Entry.Value);
    if (!isOk(Pack))
      return errorOf(Pack);
    for (const PackNumber Number : Missing)
      if (Entry.Key == packKey(Number))
        Packs[Number] = valueOf(Pack);
  }
  if (!missingPacks(Settings.Head, Packs).empty())
    return Error{ErrorId::Unavailable, "the settings changed while being read",
                 ""};
  for (const auto &[Number, Version] : Settings.Head.Packs)
    Settings.Packs[Number] = Packs[Number];
  return Success{};
}

/// The audit head is read before the head: the transaction compares both, and
/// a refusal compares the audit head, so a change in between is noticed.
Result<ChangeState> readState(KeyValueStore &Store,
                              const SettingsSnapshot &Held,
                              const SettingsSnapshot &Seed) {
  ChangeState State;
  const Result<Success> Audit = readAuditHead(Store, State);
  if (!isOk(Audit))
    return errorOf(Audit);
  const auto Entry = Store.read(settings_layout::HeadKey);
  if (!isOk(Entry))
    return errorOf(Entry);
  if (!valueOf(Entry)) {
    State.Settings = Seed;
    return State;
  }
  const auto Head = parseHead(valueOf(Entry)->Value);
  if (!isOk(Head))
    return errorOf(Head);
  State.Settings.Head = valueOf(Head);
  State.HeadRevision = valueOf(Entry)->Modified;
  const Result<Success> Packs = completePacks(Store, Held, State.Settings);
  if (!isOk(Packs))
    return errorOf(Packs);
  return State;
}

} // namespace

Result<std::vector<KeyValue>> readPacks(KeyValueStore &Store,
                                        const std::vector<PackNumber> &Packs) {
  if (Packs.size() > MaxSingleReads)
    return Store.readPrefix(settings_layout::PackPrefix);
  std::vector<KeyValue> Entries;
  for (const PackNumber Pack : Packs) {
    const auto Entry = Store.read(packKey(Pack));
    if (!isOk(Entry))
      return errorOf(Entry);
    if (valueOf(Entry))
      Entries.push_back(*valueOf(Entry));
  }
  return Entries;
}

ChangeResult runChange(KeyValueStore &Store, const SettingsSnapshot &Held,
                       const SettingsSnapshot &Seed, SettingsChange &Change) {
  ChangeStep Step = Change.begin();
  while (!std::holds_alternative<ChangeFinished>(Step)) {
    if (const auto *Commit = std::get_if<CommitChange>(&Step))
      Step = Change.onCommit(Store.commit(Commit->Writes));
    else
      Step = Change.onState(readState(Store, Held, Seed));
  }
  return std::get<ChangeFinished>(Step).Result;
}

} // namespace mallowglade
