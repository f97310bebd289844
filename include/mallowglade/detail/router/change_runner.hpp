#pragma once

#include <mallowglade/platform.hpp>
#include <mallowglade/settings.hpp>

namespace mallowglade {

/// @brief Runs a change against the key-value service; blocks.
/// @param Store key-value service
/// @param Held records in force, which spares reads of unchanged packs
/// @param Seed records to start from while the service holds none
/// @param Change the change; must not have begun
/// @return how the change ended
ChangeResult runChange(KeyValueStore &Store, const SettingsSnapshot &Held,
                       const SettingsSnapshot &Seed, SettingsChange &Change);

/// @brief Reads packs; many of them with one call.
/// @param Store key-value service
/// @param Packs packs to read
/// @return the records found
Result<std::vector<KeyValue>> readPacks(KeyValueStore &Store,
                                        const std::vector<PackNumber> &Packs);

} // namespace mallowglade
