/** Composes the replica of the replicated log, with its log store. */
import type { Result } from "true-myth";
import {
  FileLogStore,
  MemoryLogStore,
  NodeFileSystem,
} from "../adapters/disk/index.ts";
import type { Failure } from "../domain/index.ts";
import type { LogStore, PeerNetwork } from "../ports/index.ts";
import { MajorityCommitRule, Replica } from "../replication/index.ts";
import type { EntryBase } from "./entry_context.ts";
import type { Settings } from "./settings/index.ts";

/**
 * Loads the replica from the data folder and starts its tasks.
 *
 * An entry without a data folder keeps its log in memory.
 *
 * @param base - Settings and adapters of the entry.
 * @param network - The network to the other entries.
 * @returns The replica, or the failure of the disk.
 */
export async function createReplica(
  base: EntryBase,
  network: PeerNetwork,
): Promise<Result<Replica, Failure>> {
  const { settings, tasks } = base;
  const replica = await Replica.load({
    ...base,
    entryId: settings.entryId,
    hasDisk: settings.dataFolder !== null,
    wantsVote: settings.voter,
    peerIds: settings.peers.map(({ entryId }) => entryId),
    initialVoterIds: listInitialVoters(settings),
    commitRule: new MajorityCommitRule(),
    store: await createStore(base),
    network,
  });
  if (replica.isOk) {
    replica.value.start(tasks);
  }
  return replica;
}

async function createStore(base: EntryBase): Promise<LogStore> {
  const { settings, onFatal } = base;
  if (settings.dataFolder === null) {
    return new MemoryLogStore(base.random);
  }
  const files = await NodeFileSystem.load(settings.dataFolder);
  return new FileLogStore({ ...base, files, onSyncFailure: onFatal });
}

function listInitialVoters(settings: Settings): string[] {
  const others = settings.peers.filter(({ voter }) => voter)
    .map(({ entryId }) => entryId);
  return settings.voter ? [settings.entryId, ...others] : others;
}
